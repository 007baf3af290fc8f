"""Start one controller: the entry point that deploy/service.toml names."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
SOURCES = ROOT / "src"
# The build's copy of the sources with their bytecode. A controller has no disk to cache bytecode
# on, and compiling the sources took a fifth of the time of each start.
BUILT = ROOT / "target" / "app"


def package_folder() -> Path:
    """Return the folder to import salthead from: the build's copy, unless a source is newer."""
    if not BUILT.is_dir():
        return SOURCES
    built_at = BUILT.stat().st_mtime
    newer = any(path.stat().st_mtime > built_at for path in SOURCES.rglob("*.py"))
    return SOURCES if newer else BUILT


def main() -> None:
    """Run a controller with the libraries and sources of this checkout."""
    sys.path[:0] = [str(ROOT / "target" / "deps"), str(package_folder())]
    from salthead.serve import main as run_service

    run_service()


if __name__ == "__main__":
    main()
