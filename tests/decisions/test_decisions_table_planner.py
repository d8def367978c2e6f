"""The table planner: the contents of tables with zone-local methods."""

import pytest
from helpers import AssignerRig, endpoint_list_update, make_endpoint, method

from hollyridge import interface as api

DRAINING = api.TaskState.DRAINING
GONE = api.TaskState.GONE
ZONE_LOCAL = method(same_zone_only=True, criticality=0.5)


@pytest.mark.parametrize("admission", [api.Admission.FRACTION, api.Admission.OFF])
@pytest.mark.parametrize(
    "methods", [(method(), ZONE_LOCAL), (ZONE_LOCAL, ZONE_LOCAL), (ZONE_LOCAL, method(criticality=3.0), method())]
)
def test_a_zone_local_method_never_gets_a_task_of_another_zone(methods, admission):
    """Guards against tables that hold tasks of all zones whatever the method."""
    rig = AssignerRig(methods=methods, admission=admission, tasks=12, proxies=6)
    tables_by_proxy: dict[int, dict[int, int]] = {}  # table by proxy and method
    tables: dict[int, set[int]] = {}

    def check_tables():
        for command in rig.commands:
            if isinstance(command, api.SetWeight):
                lines = tables.setdefault(command.table, set())
                (lines.add if command.weight > 0 else lines.discard)(command.task)
            elif isinstance(command, api.BindTable):
                tables_by_proxy.setdefault(command.proxy, {}).update(
                    (method_index, command.table)
                    for method_index in range(len(methods))
                    if not command.methods or command.methods >> method_index & 1
                )
        for proxy, by_method in tables_by_proxy.items():
            for method_index, table in by_method.items():
                ready = set(rig.assigner.endpoints.ready_tasks())
                assert not methods[method_index].same_zone_only or all(i % 2 == proxy % 2 for i in tables[table]), (
                    proxy,
                    method_index,
                    table,
                )
                assert not any(i % 2 == proxy % 2 for i in ready) or tables[table]

    check_tables()
    all_methods = set(range(len(methods)))
    assert {proxy: set(by_method) for proxy, by_method in tables_by_proxy.items()} == dict.fromkeys(
        range(6), all_methods
    )
    # The failures cause an overload, in which sheddable methods are separated.
    for failed in (0, 0, 8, 8, 8, 8, 0, 0, 0, 0, 0, 0, 0):
        rig.period(*[rig.report(z, i, failed=failed) for z in (0, 1) for i in range(12)])
        check_tables()
    changed = [make_endpoint(0, state=DRAINING), make_endpoint(3, state=GONE), make_endpoint(13, started_at=rig.now)]
    rig.feed(
        endpoint_list_update(changed, api.UpdateKind.DELTA),
        *[api.ProxyJoined(5.0, True, p, p % 2) for p in range(6, 40)],
        after=0.1,
    )
    for _ in range(12):
        check_tables()
        rig.period(*[rig.report(z, i) for z in (0, 1) for i in range(14) if i not in (0, 3, 12)])
    assert set(tables_by_proxy) == set(range(40))
    assert all(set(by_method) == all_methods for by_method in tables_by_proxy.values())
    assert not any({0, 3} & tables[table] for by_method in tables_by_proxy.values() for table in by_method.values())
    other_zone_tasks = {
        i
        for by_method in tables_by_proxy.values()
        for method_index, table in by_method.items()
        if not methods[method_index].same_zone_only
        for i in tables[table]
        if table == 0 and i % 2
    }
    # The other methods still use other zones.
    assert bool(other_zone_tasks) is any(not m.same_zone_only for m in methods)


def test_a_proposal_of_the_solver_while_no_task_is_ready_leaves_the_tables_empty():
    """Guards against a division by the capacity of no task."""
    rig = AssignerRig()
    rig.feed(api.WeightProposal(0, ((0, 1.0),)), after=0.1)
    rig.feed(endpoint_list_update([make_endpoint(task, state=GONE) for task in range(8)]), after=0.1)
    rig.period()
    assert not rig.tables[0]
