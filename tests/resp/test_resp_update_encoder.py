"""Encoding of updates from the state that a proxy has to the state that it should have."""

from immutables import Map
from in_process import NAMES

from hollyridge.delivery.update_builder import ProxyUpdate
from hollyridge.resp.codec import FrameReader
from hollyridge.resp.proxy_view import ProxyView
from hollyridge.resp.update_encoder import UpdateEncoder
from hollyridge.store.table_versions import Table, TableStore


class EncoderRig:
    """A table store, an encoder, and the views of one proxy."""

    def __init__(self):
        self.store = TableStore(8)
        self.encoder = UpdateEncoder(NAMES.methods, lambda task: f"s-{task}")
        self.view, self.planned_view = ProxyView(), ProxyView()

    def put(self, version, table=0, lines=(), levels=()):
        return self.store.put(version, table, dict(lines), dict(levels))

    def send(self, *tables, bindings=(), mark=-1, ejections=()):
        update = ProxyUpdate(3, 1, 0, bindings, tuple(tables), (), mark, tuple(ejections))
        lines, data = self.encoder.count_lines(self.planned_view, update), self.encoder.encode(self.view, update)
        return [[part.decode() for part in message] for message in FrameReader().feed(data)], lines


ALL_METHODS = ((0, 0b11),)


def test_a_table_is_sent_in_full_once_and_as_changes_after_that():
    rig = EncoderRig()
    first = rig.put(1, lines={1: 1.5, 2: 0.2}, levels={1: (1.0, 1), 2: (1.0, 1)})
    assert rig.send((0, first), bindings=ALL_METHODS, mark=9) == (
        [["assign", "whole", "1", "lines", "s-1:1.5,s-2:0.2", "level", "1", "retry", "1", "ticket", "9"]],
        4,
    )
    second = rig.put(2, lines={2: 0.0, 4: 1 / 3})
    assert rig.send((0, second)) == ([["assign", "lines", "s-2:0,s-4:0.333333"]], 2)
    last = rig.put(3, levels={1: (0.4, 0), 2: (0.4, 0)})
    assert rig.send((0, last), mark=10) == ([["assign", "level", "0.4", "retry", "0", "ticket", "10"]], 1)
    assert rig.send((0, last), mark=11) == ([["assign", "ticket", "11"]], 0)


def test_different_admissions_are_parts_of_one_update():
    rig = EncoderRig()
    first = rig.put(1, lines={1: 1.0}, levels={1: (1.0, 1), 2: (0.5, 0)})
    assert rig.send((0, first), bindings=ALL_METHODS, mark=1) == (
        [
            ["assign", "whole", "1", "lines", "s-1:1", "more", "1"],
            ["assign", "classes", "read-chapter", "level", "1", "retry", "1", "more", "1"],
            ["assign", "classes", "redeem-code", "level", "0.5", "retry", "0", "ticket", "1"],
        ],
        4,
    )


def test_an_admission_is_removed_only_with_a_complete_table():
    rig = EncoderRig()
    rig.send((0, rig.put(1, lines={1: 1.0}, levels={0: (0.5, 0)})), bindings=ALL_METHODS)
    value = Table(2, Map({1: 1.0}), Map())
    assert rig.send((0, value)) == ([["assign", "whole", "1", "lines", "s-1:1"]], 2)


def test_methods_can_use_separate_tables():
    rig = EncoderRig()
    main, other = rig.put(1, lines={1: 1.0, 2: 1.0}), rig.put(1, table=5, lines={2: 1.0})
    rig.send((0, main), bindings=ALL_METHODS)
    assert rig.send((5, other), bindings=((5, 0b10),)) == (
        [["assign", "classes", "redeem-code", "whole", "1", "lines", "s-2:1"]],
        2,
    )
    assert rig.send((0, rig.put(2, lines={1: 2.0}))) == ([["assign", "classes", "read-chapter", "lines", "s-1:2"]], 1)
    assert rig.send((0, rig.put(3, lines={1: 3.0})), bindings=ALL_METHODS) == (
        [["assign", "whole", "1", "lines", "s-1:3,s-2:1"]],
        3,
    )


def test_ejected_and_restored_tasks_are_one_part_with_the_newest_state():
    assert EncoderRig().send(ejections=[(7, True), (8, True), (8, False)]) == (
        [["assign", "out", "s-7", "back", "s-8"]],
        2,
    )


def test_a_change_is_computed_once_for_all_proxies():
    rig = EncoderRig()
    value = rig.put(1, lines={1: 1.0})
    rig.send((0, value), bindings=ALL_METHODS)
    memo = rig.encoder.memo.copy()
    rig.view, rig.planned_view = ProxyView(), ProxyView()
    rig.send((0, value), bindings=ALL_METHODS)
    assert rig.encoder.memo == memo
    assert len(memo) == 1
