"""Indices are used again once nothing can mean their former holder."""

from hollyridge.registration.index_allocator import IndexAllocator


def test_weeks_of_tasks_do_not_grow_the_arrays():
    used = set()
    indices, now = IndexAllocator(rest=100, most=200, still_used=used.__contains__), 0
    for week in range(2000):
        index = indices.allocate(now, f"task-{week}")
        assert index is not None
        assert indices.names[index] == f"task-{week}"
        used = {index}
        now += 10
        indices.release(now, f"task-{week}")
    assert len(indices.names) <= 13


def test_an_index_is_kept_back_while_a_table_may_name_it():
    used = {0}
    indices = IndexAllocator(rest=10, most=5, still_used=lambda i: i in used)
    indices.allocate(0, "a")
    indices.release(0, "a")
    assert indices.allocate(1000, "b") == 1
    used.clear()
    assert indices.allocate(1000, "c") == 0
