"""Reading a TOML file into a checked structure."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from salthead.errors import SaltheadError

Structure = TypeVar("Structure", bound=msgspec.Struct)


class ConfigFileError(SaltheadError):
    """A settings or policy file can't be used; says why in one line."""


def read(path: str | Path, kind: type[Structure], check: Callable[[Structure], None]) -> Structure:
    """Read and check a file; ConfigFileError names it and what is wrong.

    ``check`` looks at what types alone do not say, and raises ConfigFileError.
    """
    try:
        tree = tomllib.loads(Path(path).read_bytes().decode())
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror or error}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigFileError(f"{path}: not TOML: {error}") from None
    try:
        structure = msgspec.convert(tree, kind)
        check(structure)
    except (msgspec.ValidationError, ConfigFileError) as error:
        raise ConfigFileError(f"{path}: {error}") from None
    return structure
