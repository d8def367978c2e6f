"""Versions of tables and the changes between them."""

from random import Random

import pytest

from hollyridge.store.table_versions import EMPTY, TableStore, difference


def test_every_version_can_be_reached_from_every_kept_one():
    rng, store, tables = Random(4), TableStore(max_versions=10), {}
    for version in range(1, 60):
        lines = {rng.randrange(20): rng.choice([0.0, 1.0, 2.0]) for _ in range(rng.randrange(5))}
        levels = {0: (rng.random(), 0)} if rng.random() < 0.2 else {}
        store.put(version, 0, lines, levels, clear=rng.random() < 0.1)
        tables[version] = store.latest(0)
        for old in range(1, version + 1):
            change = store.since(0, old)
            assert (change is None) == (old <= version - 10)
            if change is not None:
                held = dict(tables[old].lines)
                held.update(change.lines)
                assert {k: w for k, w in held.items() if w} == dict(store.latest(0).lines)
    with pytest.raises(ValueError):
        store.put(3, 0, {})
    assert store.at(0, 3) is None
    assert len(store.cached_changes) <= TableStore.MAX_CACHED_CHANGES
    store.drop(0)
    assert store.latest(0) is EMPTY


def test_a_version_that_is_put_twice_is_replaced():
    store = TableStore(4)
    store.put(1, 0, {1: 1.0})
    store.put(2, 0, {2: 1.0})
    assert store.since(0, 1).lines == ((2, 1.0),)
    store.put(2, 0, {3: 1.0})
    assert store.since(0, 1).lines == ((2, 1.0), (3, 1.0))
    assert len(store.history[0]) == 2
    assert len(difference(store.at(0, 1), store.at(0, 1))) == 0
