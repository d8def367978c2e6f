"""Stand-in tasks agree with queueing theory."""

import math
from random import Random

import pytest
from lab_helpers import SECOND

from hollyridge.client.picking import Picker
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task import Task
from hollyridge.lab.stand_ins.task_model import OverloadBudget, TaskSpec, WarmUp
from hollyridge.lab.stand_ins.world import VirtualWorld


def mean_response_time(servers, load, seed, tasks=1, pick="random", calls=30_000):
    """Return the mean response time at tasks with this many cores, as a multiple of the mean service time.

    The work of RPCs is exponentially distributed, and tasks do not get slower with many RPCs at once.
    """
    world, rng, response_times = VirtualWorld(), Random(seed), []
    spec = TaskSpec(cores=servers, slots=servers, queue=1 << 30, thrash=0.0, handshake_us=0)
    tasks_by_name = {
        str(k): Task(
            world,
            str(k),
            str(k),
            run="r",
            build=spec,
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
    in_flight, picker = dict.fromkeys(tasks_by_name, 0), Picker(pick, rng)
    picker.set(dict.fromkeys(tasks_by_name, 1.0))

    def client():
        for number in range(calls):
            world.sleep(rng.expovariate(load * servers * tasks))
            name, started_us = picker.choose(in_flight.__getitem__), world.now()
            in_flight[name] += 1

            def on_answer(answer, name=name, started_us=started_us, number=number):
                in_flight[name] -= 1
                if number > calls / 10:
                    response_times.append((world.now() - started_us) / SECOND)

            tasks_by_name[name].receive_rpc(rpc.Call(number, "", 0, "", rng.expovariate(1.0) * SECOND), on_answer)
        for task in tasks_by_name.values():
            task.down = True

    world.spawn(client)
    world.run(2 * calls / (load * servers * tasks))
    return sum(response_times) / len(response_times)


def erlang_response_time(servers, load):
    """Return the mean response time of an M/M/c queue, as a multiple of the mean service time (Erlang C)."""
    offered = servers * load
    waiting_term = offered**servers / math.factorial(servers) / (1 - load)
    wait_probability = waiting_term / (sum(offered**k / math.factorial(k) for k in range(servers)) + waiting_term)
    return 1 + wait_probability / (servers * (1 - load))


@pytest.mark.parametrize(("servers", "load"), [(1, 0.5), (1, 0.7), (2, 0.7), (4, 0.8)])
def test_response_times_agree_with_theory(servers, load):
    mean = sum(mean_response_time(servers, load, seed) for seed in (1, 2, 3)) / 3
    assert mean == pytest.approx(erlang_response_time(servers, load), rel=0.06)


def test_two_choices_shorten_response_times():
    random, two_choices = (mean_response_time(1, 0.8, 5, tasks=10, pick=pick) for pick in ("random", "p2c"))
    assert random == pytest.approx(5.0, rel=0.15)
    assert two_choices < random / 1.8


def test_capacity_and_overload_budget_of_a_cold_task():
    spec = TaskSpec(cores=1, cold_from=0.2, cold_us=10 * SECOND)
    warm_up = WarmUp(spec, 0)
    work_s = sum(warm_up.capacity(at) * 1000 for at in range(0, 20 * SECOND, 1000)) / SECOND
    assert work_s == pytest.approx(10 * 0.6 + 10, rel=0.001)
    budget, used = OverloadBudget(spec, warm_up), 0.0
    for at in range(0, 2 * SECOND, 10_000):
        used = max(used, budget.add(at, 8_000))
    assert 0.5 < used < 1  # 0.8 per second of work, where the budget is 4 times a capacity of 0.2 to 0.36


def test_slow_handshakes_occupy_the_task():
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

    def connect_and_sample():
        task.connect()
        world.sleep(0.05)
        seen.append(task.in_progress)
        world.sleep(0.05)
        seen.append(task.in_progress)
        task.down = True

    world.spawn(connect_and_sample)
    world.run(1.0)
    assert seen == [1, 0]  # the handshake is 80 ms of work
