"""Documents name what exists: files, modules, tests, and the events that the sources log."""

from __future__ import annotations

import ast
import functools
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "salthead"
DOCUMENTS = [
    "README.md",
    "docs/ARCHITECTURE.md",
    "docs/ROADMAP.md",
    "docs/design.md",
    "docs/events.md",
]
FOLDERS = ("src", "tests", "tools", "docs", "deploy", "days", "journal", ".ci")
IN_BACKTICKS = re.compile(r"`([^`\n]+)`")
# A path below one of the folders, or the name of a module or document with any path before it.
PATH = re.compile(rf"(?:(?:{'|'.join(map(re.escape, FOLDERS))})/[\w./*-]*|[\w./*-]+\.(?:py|md))")
TEST_NAME = re.compile(r"(test_\w+)(\.\.\.)?")  # three dots stand for the rest of the name


def named_in(document: str) -> list[str]:
    """Return the words that a document has in backticks, each once."""
    spans = IN_BACKTICKS.findall((ROOT / document).read_text())
    return sorted({word.rstrip(",;:") for span in spans for word in span.split()})


def path_exists(path: str) -> bool:
    """Return whether a path, or a pattern, is in the repository, among the sources or the tests."""
    bases = (ROOT, SOURCES, ROOT / "tests", ROOT / "tools")
    if any(next(base.glob(path), None) is not None for base in bases):
        return True
    # In the middle of a paragraph a module has its name alone.
    return "/" not in path and next(SOURCES.rglob(path), None) is not None


@functools.cache
def names_of_tests() -> frozenset[str]:
    """Return the names of all functions that are tests."""
    return frozenset(
        node.name
        for path in (ROOT / "tests").glob("test_*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and node.name.startswith("test_")
    )


def is_a_test(name: str, shortened: bool) -> bool:
    """Return whether a test has this name, or begins with it."""
    names = names_of_tests()
    return any(other.startswith(name) for other in names) if shortened else name in names


@pytest.mark.parametrize("document", DOCUMENTS)
def test_files_that_documents_name_exist(document: str) -> None:
    paths = [word for word in named_in(document) if PATH.fullmatch(word)]
    assert [path for path in paths if not path_exists(path)] == []


@pytest.mark.parametrize("document", DOCUMENTS)
def test_tests_that_documents_name_exist(document: str) -> None:
    found = [match for word in named_in(document) if (match := TEST_NAME.fullmatch(word))]
    assert [match[0] for match in found if not is_a_test(match[1], match[2] is not None)] == []


LOGS = ("event", "error_event")


def logged_events() -> Iterator[str]:
    """Yield the names of the events that the sources log; each is a constant."""
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and ast.unparse(node.func).split(".")[-1] in LOGS:
                name = node.args[1]
                assert isinstance(name, ast.Constant), f"{path}:{node.lineno}: no constant name"
                yield str(name.value)


def documented_events() -> list[str]:
    """Return the names in the first column of the table of events."""
    lines = (ROOT / "docs" / "events.md").read_text().splitlines()
    start = next(n for n, line in enumerate(lines) if line.startswith("| event |"))
    names: list[str] = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cell = re.sub(r"\([^)]*\)", "", line.split("|")[1])  # levels stand in parentheses
        names += IN_BACKTICKS.findall(cell)
    return names


def test_each_event_has_one_row_and_each_row_is_of_an_event() -> None:
    rows = documented_events()
    assert sorted(rows) == sorted(set(logged_events()))
