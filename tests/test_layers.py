"""Imports follow the layers of the packages, so that they can be read from the bottom up."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCES = Path(__file__).resolve().parent.parent / "src" / "salthead"
# The layers from the bottom up: a module imports from its own layer and those below it. A module
# listed with its package is in another layer than the rest of the package: evidence on links and
# machines is below the ledger, and conclusions from it on many machines are above.
LAYERS: list[set[str]] = [
    {"errors", "event_log", "toml_file", "metrics", "__init__"},
    {"protocol", "settings"},
    {"transport"},
    {"state_store"},
    {"policy", "networks"},
    {
        "leases",
        "failure_detection.blocked_actions",
        "failure_detection.links",
        "failure_detection.machine_sets",
        "failure_detection.preconditions",
    },
    {"cluster"},
    {"heartbeats", "failure_detection"},
    {"scheduling"},
    {"autoscaling", "zones"},
    {"leader"},
    {"controller"},
    {"serve", "cli"},
]
# Packages without import cycles, whose modules import no types from above either: all packages.
SETTLED = tuple(sorted({path.parent.name for path in SOURCES.glob("*/*.py")} - {"__pycache__"}))
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def _level(parts: tuple[str, ...]) -> int:
    """Return the layer of a module, given the names on its path below the sources."""
    return LEVEL.get(".".join(parts[:2]), LEVEL[parts[0]])


def _imports(tree: ast.AST, types: bool) -> Iterator[str]:
    """Yield the imported names, without those for type checking unless ``types`` is set."""
    for child in ast.iter_child_nodes(tree):
        if not types and isinstance(child, ast.If) and "TYPE_CHECKING" in ast.unparse(child.test):
            continue
        if isinstance(child, ast.ImportFrom) and child.module is not None:
            yield from (f"{child.module}.{alias.name}" for alias in child.names)
        elif isinstance(child, ast.Import):
            yield from (alias.name for alias in child.names)
        else:
            yield from _imports(child, types)


def _module(path: Path) -> tuple[str, ...]:
    return path.relative_to(SOURCES).with_suffix("").parts


@pytest.mark.parametrize(
    "path", sorted(SOURCES.rglob("*.py")), ids=lambda path: str(path.relative_to(SOURCES))
)
def test_imports_go_downwards(path: Path) -> None:
    own = _module(path)
    for name in _imports(ast.parse(path.read_text()), types=own[0] in SETTLED):
        parts = tuple(name.split("."))
        if parts[0] == "salthead" and len(parts) > 1 and parts[1] != "__version__":
            assert _level(parts[1:]) <= _level(own), f"{'.'.join(own)} imports {name}"


def test_settled_packages_have_no_import_circles() -> None:
    modules = {
        ".".join(_module(path)): path for own in SETTLED for path in SOURCES.glob(f"{own}/*.py")
    }
    left = {
        module: {
            other
            for name in _imports(ast.parse(path.read_text()), types=True)
            for other in modules
            if f"{name}.".startswith(f"salthead.{other}.")
        }
        for module, path in modules.items()
    }
    assert len(left) > 20
    while free := [module for module, needed in left.items() if not needed & left.keys()]:
        for module in free:
            del left[module]
    assert not left
