"""Indices are reused once nothing can refer to their former holder."""

from hollyridge.registration.index_allocator import IndexAllocator


def test_replaced_tasks_do_not_grow_the_arrays():
    used = set()
    indices, now = IndexAllocator(reserve_us=100, max_indices=200, in_use=used.__contains__), 0
    for week in range(2000):
        index = indices.allocate(now, f"task-{week}")
        assert index is not None
        assert indices.names[index] == f"task-{week}"
        used = {index}
        now += 10
        indices.release(now, f"task-{week}")
    assert len(indices.names) <= 13


def test_an_index_is_reserved_while_a_table_may_refer_to_it():
    used = {0}
    indices = IndexAllocator(reserve_us=10, max_indices=5, in_use=lambda i: i in used)
    indices.allocate(0, "a")
    indices.release(0, "a")
    assert indices.allocate(1000, "b") == 1
    used.clear()
    assert indices.allocate(1000, "c") == 0
