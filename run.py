"""Start one controller: what deploy/service.toml runs. Everything else is in src/salthead."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src")]

from salthead.serve import main  # noqa: E402

if __name__ == "__main__":
    main()
