"""Entry point of ``python -m salthead.cli``, which is the same as ``salthead``."""

from salthead.cli import main

main()
