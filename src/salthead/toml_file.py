"""Reading of a TOML file into a validated structure."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from salthead.errors import SaltheadError

Structure = TypeVar("Structure", bound=msgspec.Struct)


class ConfigFileError(SaltheadError):
    """A settings or policy file is unreadable or invalid; the message is one line."""


def read(
    path: str | Path, structure_type: type[Structure], check: Callable[[Structure], None]
) -> Structure:
    """Read and validate a file; raise ConfigFileError that names file and problem.

    ``check`` validates what the types do not express, and raises ConfigFileError.
    """
    try:
        tree = tomllib.loads(Path(path).read_bytes().decode())
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror or error}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigFileError(f"{path}: invalid TOML: {error}") from None
    try:
        structure = msgspec.convert(tree, structure_type)
        check(structure)
    except (msgspec.ValidationError, ConfigFileError) as error:
        raise ConfigFileError(f"{path}: {error}") from None
    return structure
