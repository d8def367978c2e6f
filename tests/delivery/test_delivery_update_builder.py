"""One update a proxy, with its tables as they are in the end."""

import pytest

from hollyridge import interface as api
from hollyridge.delivery.update_builder import ServerCapabilities, UpdateBuilder
from hollyridge.interface import BindTable, RequestAck, SetWeight
from hollyridge.store.table_versions import TableStore

PLAIN = ServerCapabilities(False, False, False, True, 1)


def test_one_message_a_proxy_with_what_its_tables_are_in_the_end():
    desk = UpdateBuilder(2, TableStore(4))
    fronts = {1: PLAIN, 2: PLAIN}
    desk.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0), BindTable(2, 0, 0)], fronts)
    orders = [SetWeight(2.0, 6, 0), BindTable(2, 1, 2), SetWeight(0.0, 5, 0), RequestAck(4, False)]
    carried = desk.build(1, 2, orders, fronts)
    updates = {p.proxy: p for p in carried.updates}
    assert {p: dict(dict(row.tables)[0].lines) for p, row in updates.items()} == {1: {6: 2.0}, 2: {6: 2.0}}
    assert updates[1].line_counts == ((0, 2),) and updates[2].line_counts == ((0, 2), (1, 1))
    assert updates[2].bindings == ((1, 2),) and all(p.mark == 4 for p in carried.updates)
    desk.forget(2)
    assert [p.proxy for p in desk.build(2, 3, [SetWeight(1.0, 7, 0), SetWeight(1.0, 7, 1)], fronts).updates] == [1]


@pytest.mark.parametrize(
    "order, why",
    [
        (api.SetAdmission(0, 1, 0.5, 0), "front has no levels"),
        (api.SetEjected(3, True), "front has no withdrawals"),
        (BindTable(9, 0, 0), "proxy has left"),
        (api.Probe(1), "no Probe here"),
        (api.SendToPeer(1, b""), "no TellPeer here"),
    ],
)
def test_what_cannot_be_carried_is_refused_and_counted(order, why):
    desk = UpdateBuilder(1, TableStore(4))
    desk.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0)], {1: PLAIN})
    assert desk.build(0, 2, [order], {1: PLAIN}).refused == {why: 1}
