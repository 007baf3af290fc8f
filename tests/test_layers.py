"""Imports go one way through the packages, so that a newcomer can read them from the bottom up."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCES = Path(__file__).resolve().parent.parent / "src" / "salthead"
# From the bottom: a module imports from its own layer and from those before it.
LAYERS: list[set[str]] = [
    {"errors", "event_log", "toml_file", "metrics", "__init__"},
    {"protocol", "settings"},
    {"transport"},
    {"state_store"},
    {
        "leases",
        "cluster",
        "heartbeats",
        "scheduling",
        "autoscaling",
        "failure_detection",
        "networks",
        "policy",
        "zones",
    },
    {"leader"},
    {"controller"},
    {"serve", "cli"},
]
LEVEL = {name: level for level, names in enumerate(LAYERS) for name in names}


def _imports(tree: ast.AST) -> Iterator[str]:
    """What is imported when the code runs: names of types alone may point upwards."""
    for child in ast.iter_child_nodes(tree):
        if isinstance(child, ast.If) and "TYPE_CHECKING" in ast.unparse(child.test):
            continue
        if isinstance(child, ast.ImportFrom) and child.module is not None:
            yield from (f"{child.module}.{alias.name}" for alias in child.names)
        elif isinstance(child, ast.Import):
            yield from (alias.name for alias in child.names)
        else:
            yield from _imports(child)


@pytest.mark.parametrize(
    "path", sorted(SOURCES.rglob("*.py")), ids=lambda path: str(path.relative_to(SOURCES))
)
def test_imports_go_downwards(path: Path) -> None:
    own = path.relative_to(SOURCES).with_suffix("").parts[0]
    for name in _imports(ast.parse(path.read_text())):
        parts = name.split(".")
        if parts[0] == "salthead" and len(parts) > 1 and parts[1] != "__version__":
            assert LEVEL[parts[1]] <= LEVEL[own], f"{own} imports {name}"
