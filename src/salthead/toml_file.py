"""Reading a TOML file into a checked structure."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

Structure = TypeVar("Structure", bound=msgspec.Struct)


class FileError(Exception):
    """Why a file can't be used, in one line."""


def read(path: str | Path, kind: type[Structure], check: Callable[[Structure], None]) -> Structure:
    """Read and check a file; FileError names it and what is wrong.

    ``check`` looks at what types alone do not say, and raises FileError.
    """
    try:
        tree = tomllib.loads(Path(path).read_bytes().decode())
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FileError(f"{path}: not TOML: {error}") from None
    try:
        found = msgspec.convert(tree, kind)
        check(found)
    except (msgspec.ValidationError, FileError) as error:
        raise FileError(f"{path}: {error}") from None
    return found
