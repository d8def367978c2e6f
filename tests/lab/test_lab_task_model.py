"""Stand-in tasks against queueing theory."""

import math
from random import Random

import pytest
from lab_helpers import SECOND

from hollyridge.client.picking import Picker
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task import Task
from hollyridge.lab.stand_ins.task_model import OverloadBudget, TaskSpec, WarmUp
from hollyridge.lab.stand_ins.world import VirtualWorld


def waits(servers, load, seed, tasks=1, pick="random", calls=30_000):
    """Mean time (in mean services) of RPCs with exponential work at tasks of so many cores, no crowding."""
    world, rng, times = VirtualWorld(), Random(seed), []
    build = TaskSpec(cores=servers, slots=servers, queue=1 << 30, thrash=0.0, handshake_us=0)
    many = {
        str(k): Task(
            world,
            str(k),
            str(k),
            run="r",
            build=build,
            cold=False,
            kinds=["idempotent"],
            window=[0],
            effects={},
            record=lambda *a, **k: None,
            seed=k,
            on_crash=lambda task: None,
        )
        for k in range(tasks)
    }
    out, picker = dict.fromkeys(many, 0), Picker(pick, rng)
    picker.set(dict.fromkeys(many, 1.0))

    def client():
        for number in range(calls):
            world.sleep(rng.expovariate(load * servers * tasks))
            name, begun = picker.choose(out.__getitem__), world.now()
            out[name] += 1

            def done(answer, name=name, begun=begun, number=number):
                out[name] -= 1
                if number > calls / 10:
                    times.append((world.now() - begun) / SECOND)

            many[name].receive_rpc(rpc.Call(number, "", 0, "", rng.expovariate(1.0) * SECOND), done)
        for task in many.values():
            task.down = True

    world.spawn(client)
    world.run(2 * calls / (load * servers * tasks))
    return sum(times) / len(times)


def erlang_wait(servers, load):
    """Mean time in an M/M/c, in mean services (Erlang C)."""
    offered = servers * load
    top = offered**servers / math.factorial(servers) / (1 - load)
    chance = top / (sum(offered**k / math.factorial(k) for k in range(servers)) + top)
    return 1 + chance / (servers * (1 - load))


@pytest.mark.parametrize(("servers", "load"), [(1, 0.5), (1, 0.7), (2, 0.7), (4, 0.8)])
def test_queues_wait_as_theory_has_it(servers, load):
    found = sum(waits(servers, load, seed) for seed in (1, 2, 3)) / 3
    assert found == pytest.approx(erlang_wait(servers, load), rel=0.06)


def test_two_choices_beat_one():
    one, two = (waits(1, 0.8, 5, tasks=10, pick=pick) for pick in ("random", "p2c"))
    assert one == pytest.approx(5.0, rel=0.15)
    assert two < one / 1.8


def test_a_cold_ramp_does_the_work_it_should():
    build = TaskSpec(cores=1, cold_from=0.2, cold_us=10 * SECOND)
    warm_up = WarmUp(build, 0)
    done = sum(warm_up.capacity(at) * 1000 for at in range(0, 20 * SECOND, 1000)) / SECOND
    assert done == pytest.approx(10 * 0.6 + 10, rel=0.001)
    budget, used = OverloadBudget(build, warm_up), 0.0
    for at in range(0, 2 * SECOND, 10_000):
        used = max(used, budget.add(at, 8_000))
    assert 0.5 < used < 1  # 0.8 a second against 4 times 0.2 to 0.36


def test_new_connections_wait_where_handshakes_are_slow():
    world, seen = VirtualWorld(), []
    task = Task(
        world,
        "t",
        "t",
        run="r",
        build=TaskSpec(handshake_us=10_000, cores=1),
        cold=False,
        kinds=["idempotent"],
        window=[0],
        effects={},
        record=lambda *a, **k: None,
        seed=1,
        on_crash=lambda task: None,
    )
    task.handshake_factor = 8.0

    def look():
        task.connect()
        world.sleep(0.05)
        seen.append(task.in_progress)
        world.sleep(0.05)
        seen.append(task.in_progress)
        task.down = True

    world.spawn(look)
    world.run(1.0)
    assert seen == [1, 0]  # 80 ms of work
