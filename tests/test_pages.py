"""Pages: many small items in a few values, written in an order that loses no item."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from salthead.state_store.pages import Pages


def write(pages: Pages, service: dict[str, Any], most: int = 8, kb: float = 56.0) -> int:
    """Write all dirty pages to the service and return the number of changes."""
    changes = 0
    while pages.dirty:
        batch = pages.batch(most, kb)
        for page, (_, content) in batch.items():
            if content:
                service[pages.key(page)] = content
            else:
                service.pop(pages.key(page), None)
        changes += len(batch)
        pages.written(batch, revision=changes)
    return changes


def loaded(service: dict[str, Any]) -> dict[str, Any]:
    again = Pages("p/", 4.0)
    for key, value in service.items():
        again.load(key, value, 1)
    return {name: again.pages[page][name] for name, page in again.page_of.items()}


@pytest.mark.parametrize(("value_kb", "changes"), [(4.0, 12), (16.0, 3)])
def test_a_fleet_is_written_in_a_few_changes(value_kb: float, changes: int) -> None:
    pages = Pages("p/", value_kb)
    for n in range(600):
        pages.set(f"host-{n:06d}", ["wheatbox", "eastbank", True, "10.1.0.232:9000"])
    service: dict[str, Any] = {}
    assert write(pages, service) == changes
    assert all(len(msgspec.json.encode(v)) <= value_kb * 1024 for v in service.values())
    assert len(loaded(service)) == 600


@pytest.mark.parametrize("seed", range(5))
def test_any_sequence_of_changes_reads_back_as_the_last(seed: int) -> None:
    rng = random.Random(seed)
    pages, service, expected = Pages("p/", 4.0), {}, {}
    for _ in range(400):
        name = f"req-{rng.randrange(40)}/0"
        if rng.random() < 0.2:
            pages.drop(name)
            expected.pop(name, None)
        else:
            expected[name] = [[n, n + 1] for n in range(rng.randrange(1, 60))]
            pages.set(name, expected[name])
        if rng.random() < 0.1:
            write(pages, service)
    write(pages, service)
    assert loaded(service) == expected
    assert all(len(msgspec.json.encode(v)) <= 4096 for v in service.values())


def test_an_item_that_moves_is_on_its_new_page_before_it_leaves_the_old() -> None:
    pages, service = Pages("p/", 1.0), {}
    pages.set("a", ["x" * 300])
    pages.set("b", ["y" * 300])
    write(pages, service)
    pages.set("b", ["y" * 700])
    assert list(pages.dirty) == [pages.page_of["b"], pages.page_of["a"]]
    first = pages.batch(1, 56.0)
    assert [content for _, content in first.values()] == [{"b": ["y" * 700]}]


def test_an_item_that_moves_twice_is_never_on_no_page() -> None:
    # The page that the item left first must not be written before the page that it is on now.
    pages, service = Pages("p/", 1.0), {}
    for name, size in (("a", 300), ("b", 300), ("c", 200)):
        pages.set(name, ["x" * size])
    write(pages, service)
    pages.set("a", ["x" * 500])
    pages.set("e", ["x" * 250])
    pages.set("a", ["x" * 790])
    assert len(pages.dirty) == 3
    while pages.dirty:
        write_one = pages.batch(1, 56.0)
        for page, (_, content) in write_one.items():
            service[pages.key(page)] = content
        pages.written(write_one, 1)
        assert any("a" in content for content in service.values())
    assert loaded(service)["a"] == ["x" * 790]


@pytest.mark.parametrize("newer", [0, 1])
def test_an_item_on_two_pages_is_taken_from_the_one_written_last(newer: int) -> None:
    pages = Pages("p/", 4.0)
    for page in (0, 1):
        pages.load(pages.key(page), {"a": [page], f"other-{page}": [9]}, 7 if page == newer else 3)
    assert pages.pages[pages.page_of["a"]]["a"] == [newer] and pages.duplicates == {"a"}
    service: dict[str, Any] = {}
    write(pages, service)
    assert service == {pages.key(1 - newer): {f"other-{1 - newer}": [9]}}, (
        "the older copy is removed"
    )


def test_what_changes_during_a_write_is_written_again() -> None:
    pages = Pages("p/", 4.0)
    pages.set("a", [1])
    batch = pages.batch(8, 56.0)
    pages.set("b", [2])
    pages.written(batch, 5)
    assert pages.dirty and pages.revisions == {0: 5}
    pages.written(pages.batch(8, 56.0), 6)
    assert not pages.dirty
