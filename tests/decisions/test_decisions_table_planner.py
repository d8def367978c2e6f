"""The table planner: what tables of zone-local methods hold."""

import pytest
from helpers import Rig, entry, method, roster

from hollyridge import interface as api

DRAINING = api.TaskState.DRAINING
GONE = api.TaskState.GONE
ZONE_LOCAL = method(same_zone_only=True, criticality=0.5)


@pytest.mark.parametrize("admission", [api.Admission.FRACTION, api.Admission.OFF])
@pytest.mark.parametrize(
    "methods", [(method(), ZONE_LOCAL), (ZONE_LOCAL, ZONE_LOCAL), (ZONE_LOCAL, method(criticality=3.0), method())]
)
def test_a_zone_local_method_never_gets_a_task_of_another_zone(methods, admission):
    """Every table held tasks of all zones, whatever the method, on every day of such a deployment."""
    rig = Rig(methods=methods, admission=admission, tasks=12, proxies=6)
    held: dict[int, dict[int, int]] = {}  # by proxy: table of each method
    tables: dict[int, set[int]] = {}

    def look():
        for order in rig.commands:
            if isinstance(order, api.SetWeight):
                lines = tables.setdefault(order.table, set())
                (lines.add if order.weight > 0 else lines.discard)(order.task)
            elif isinstance(order, api.BindTable):
                held.setdefault(order.proxy, {}).update(
                    (k, order.table) for k in range(len(methods)) if not order.methods or order.methods >> k & 1
                )
        for proxy, by_method in held.items():
            for k, table in by_method.items():
                ready = set(rig.assigner.endpoints.ready_tasks())
                assert not methods[k].same_zone_only or all(i % 2 == proxy % 2 for i in tables[table]), (
                    proxy,
                    k,
                    table,
                )
                assert not any(i % 2 == proxy % 2 for i in ready) or tables[table]

    look()
    every = set(range(len(methods)))
    assert {proxy: set(by_method) for proxy, by_method in held.items()} == dict.fromkeys(range(6), every)
    for failed in (
        0,
        0,
        8,
        8,
        8,
        8,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
    ):  # through an overload, in which sheddable methods are separated
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(12)])
        look()
    changed = [entry(0, state=DRAINING), entry(3, state=GONE), entry(13, started_at=rig.now)]
    rig.feed(
        roster(changed, api.UpdateKind.DELTA), *[api.ProxyJoined(5.0, True, p, p % 2) for p in range(6, 40)], after=0.1
    )
    for _ in range(12):
        look()
        rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(14) if i not in (0, 3, 12)])
    assert set(held) == set(range(40))
    assert all(set(by_method) == every for by_method in held.values())
    assert not any({0, 3} & tables[table] for by_method in held.values() for table in by_method.values())
    elsewhere = {
        i
        for by_method in held.values()
        for k, table in by_method.items()
        if not methods[k].same_zone_only
        for i in tables[table]
        if table == 0 and i % 2
    }
    assert bool(elsewhere) is any(not m.same_zone_only for m in methods)  # the others go on using other zones
