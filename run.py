"""Start one controller: what deploy/service.toml runs. Everything else is in src/salthead."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
SOURCES = ROOT / "src"
# The build's copy of the sources with their bytecode: a controller has no disk to keep any on, and
# compiling them took a fifth of each start.
BUILT = ROOT / "target" / "app"


def package_folder() -> Path:
    """Where to import salthead from: the build's copy, unless a source is newer than it."""
    if not BUILT.is_dir():
        return SOURCES
    built_at = BUILT.stat().st_mtime
    newer = any(path.stat().st_mtime > built_at for path in SOURCES.rglob("*.py"))
    return SOURCES if newer else BUILT


def main() -> None:
    """Run the controller with the libraries and sources of this checkout."""
    sys.path[:0] = [str(ROOT / "target" / "deps"), str(package_folder())]
    from salthead.serve import main as serve

    serve()


if __name__ == "__main__":
    main()
