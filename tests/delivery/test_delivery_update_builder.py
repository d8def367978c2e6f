"""Each proxy gets one update, with its tables as they are after the last command."""

import pytest

from hollyridge import interface as api
from hollyridge.delivery.update_builder import ServerCapabilities, UpdateBuilder
from hollyridge.interface import BindTable, RequestAck, SetWeight
from hollyridge.store.table_versions import TableStore

PLAIN = ServerCapabilities(False, False, False, True, 1)


def test_each_proxy_gets_one_update_with_its_final_tables():
    builder = UpdateBuilder(2, TableStore(4))
    servers = {1: PLAIN, 2: PLAIN}
    builder.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0), BindTable(2, 0, 0)], servers)
    commands = [SetWeight(2.0, 6, 0), BindTable(2, 1, 2), SetWeight(0.0, 5, 0), RequestAck(4, False)]
    batch = builder.build(1, 2, commands, servers)
    updates = {update.proxy: update for update in batch.updates}
    tables = {proxy: dict(dict(update.tables)[0].lines) for proxy, update in updates.items()}
    assert tables == {1: {6: 2.0}, 2: {6: 2.0}}
    assert updates[1].line_counts == ((0, 2),)
    assert updates[2].line_counts == ((0, 2), (1, 1))
    assert updates[2].bindings == ((1, 2),)
    assert all(update.mark == 4 for update in batch.updates)
    builder.forget(2)
    batch = builder.build(2, 3, [SetWeight(1.0, 7, 0), SetWeight(1.0, 7, 1)], servers)
    assert [update.proxy for update in batch.updates] == [1]


@pytest.mark.parametrize(
    ("command", "reason"),
    [
        (api.SetAdmission(0, 1, 0.5, 0), "front has no levels"),
        (api.SetEjected(3, True), "front has no withdrawals"),
        (BindTable(9, 0, 0), "proxy has left"),
        (api.Probe(1), "no Probe here"),
        (api.SendToPeer(1, b""), "no TellPeer here"),
    ],
)
def test_an_unsupported_command_is_refused_and_counted(command, reason):
    builder = UpdateBuilder(1, TableStore(4))
    builder.build(0, 1, [SetWeight(1.0, 5, 0), BindTable(1, 0, 0)], {1: PLAIN})
    assert builder.build(0, 2, [command], {1: PLAIN}).refused == {reason: 1}
