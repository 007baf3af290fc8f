"""``python -m salthead.cli``: the same as the command ``salthead``."""

from salthead.cli import main

main()
