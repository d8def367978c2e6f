"""A stand-in task: cores and a queue, with the faults that a real task has."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import ClassVar

from hollyridge.lab.environment import World
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task_model import KeyCache, OverloadBudget, TaskSpec, Utilization, WarmUp, service_us

TOKENED, NON_IDEMPOTENT = "tokened", "non-idempotent"
LOAD_INTERVAL_S = 0.5  # how often the load that answers tell is measured

Answering = Callable[[rpc.Answer], None]


class Task:
    """What a task does with RPCs, in whichever environment.

    Attributes:
        connections: Open now.
        waiting: RPCs in the queue; `held` of them are worked on.
        utilization: As answers tell it, and the queue's length beside it.
        silent: The machine is gone without a word: it takes nothing and answers nothing.
        hung: It works but answers nothing.
        error_rate: Fraction of the RPCs that fail at once.
        method_failure: Method, fraction that fails, and whether by silence; empty for none.
        slowdown: How many times longer work takes.
        handshake_factor: How many times the work a new connection costs; it takes `connect_delay_s` longer.
        false_load: How the load in its answers is false (low, zero, stuck, busy), and the fraction reported; or empty.
    """

    FAULT_ATTRIBUTES: ClassVar[frozenset[str]] = frozenset(
        {
            "silent",
            "hung",
            "error_rate",
            "method_failure",
            "slowdown",
            "handshake_factor",
            "connect_delay_s",
            "false_load",
        }
    )

    def __init__(  # noqa: PLR0913 - what the command that starts a task says, by name
        self,
        world: World,
        name: str,
        key: str,
        *,
        run: str,
        build: TaskSpec,
        cold: bool,
        kinds: list[str],
        window: list[int],
        effects: dict[str, int],
        record: Recorder,
        seed: int,
        on_fall: Callable[[Task], None],
    ) -> None:
        """Start a run of a task.

        Args:
            world: Time and waiting.
            name: Of the task in the fleet.
            key: The address that it listens at.
            run: Names this run.
            build: What it can do.
            cold: Whether it has to warm up.
            kinds: Of each method: tokened, non-idempotent, or other.
            window: Of each method, how long (us) repeated tokens are dropped.
            effects: When each token first took effect; shared by the tasks that drop each other's repeats.
            record: Takes what happens.
            seed: Of its own faults.
            on_fall: Called when it falls over.
        """
        self.world = world
        self.name = name
        self.key = key
        self.run = run
        self.spec = build
        self.record = record
        self.on_fall = on_fall
        self.warm_up = WarmUp(build, world.now() if cold else None)
        self.budget = OverloadBudget(build, self.warm_up)
        self.cores_in_use = Utilization(build.cores, world.now())
        self.cache = KeyCache(build)
        self.kinds = kinds
        self.window = window
        self.effects = effects
        self.chance = Random(seed).random
        self.slots = world.slots(build.slots)
        self.waiting = 0
        self.held = 0
        self.connections = 0
        self.down = False
        self.draining = False
        self.paused_until = 0
        self.utilization = 0.0
        self.queue = 0
        self._clear_faults()
        world.spawn(self._measure_load)
        self._record_start(cold)

    def _clear_faults(self) -> None:
        self.silent = False
        self.hung = False
        self.error_rate = 0.0
        self.method_failure: list = []
        self.slowdown = 1.0
        self.handshake_factor = 1.0
        self.connect_delay_s = 0.0
        self.false_load: list = []

    def _record_start(self, cold: bool) -> None:
        self.record(
            "task_up",
            task=self.key,
            run=self.run,
            cold=cold,
            born=self.warm_up.born_us or 0,
            cores=self.spec.cores,
            speed=self.spec.speed,
            cold_from=self.spec.cold_from,
            cold_us=self.spec.cold_us,
        )

    def _measure_load(self) -> None:
        while not self.down:
            self.world.sleep(LOAD_INTERVAL_S)
            how, fraction = self.false_load or ("", 1.0)
            utilization, queue = self.cores_in_use.read(self.world.now()), self.waiting
            if how == "busy":
                utilization, queue = 1.0, self.spec.queue
            if how != "stuck":
                reported = {"zero": 0.0, "low": fraction}.get(how, 1.0)
                self.utilization = utilization * reported
                self.queue = round(queue * reported)

    # Connections.

    def connect(self) -> bool:
        """Take a connection, whose handshake is work; False if no more are taken."""
        if self.down or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        self.record("connected", task=self.key)
        self.world.spawn(self._work, self.spec.handshake_us * self.spec.speed * self.handshake_factor)
        return True

    def disconnect(self) -> None:
        """A connection has ended."""
        self.connections -= 1

    # RPCs.

    def take(self, call: rpc.Call, answer: Answering) -> None:
        """Take an RPC; `answer` is called with its answer, if there is one."""
        if self.down or self.silent:
            return
        used = self.budget.add(self.world.now(), call.work)
        self._record_rpc(call, used)
        if used > 1:
            self._fall_over()
        elif self.draining or self.waiting >= self.spec.queue:
            self._answer(answer, call, rpc.PUSHED_BACK)
        elif self.error_rate and self.chance() < self.error_rate:
            self._answer(answer, call, rpc.ERROR)
        elif self._method_fails(call):
            silently = self.method_failure[2]
            if not silently:
                self._answer(answer, call, rpc.ERROR)
        else:
            self.world.spawn(self._handle, answer, call)

    def _record_rpc(self, call: rpc.Call, used: float) -> None:
        self.record(
            "rpc",
            task=self.key,
            run=self.run,
            proxy=call.proxy,
            method=call.method,
            token=call.token,
            work=round(call.work),
            used=round(used, 4),
        )

    def _fall_over(self) -> None:
        self.record("fell", task=self.key, run=self.run)
        self.stop("fell")
        self.on_fall(self)

    def _method_fails(self, call: rpc.Call) -> bool:
        if not self.method_failure:
            return False
        method, fraction, _ = self.method_failure
        return method == call.method and self.chance() < fraction

    def _handle(self, answer: Answering, call: rpc.Call) -> None:
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            if self.down:
                return
            self._take_effect(call)
            self._work(call.work * self.cache.work_fraction(self.world.now(), call.key))
        self._answer(answer, call, rpc.OK)

    def _work(self, work_us: float) -> None:
        self.held += 1
        self.cores_in_use.change(self.world.now(), 1)
        lasts_us = service_us(self.spec, self.warm_up, self.world.now(), work_us, self.held) * self.slowdown
        self.world.sleep(lasts_us / 1e6)
        while self.paused_until > self.world.now():
            self.world.sleep((self.paused_until - self.world.now()) / 1e6)
        self.held -= 1
        self.cores_in_use.change(self.world.now(), -1)

    def _take_effect(self, call: rpc.Call) -> None:
        """Take effect as work begins, so that an RPC whose answer is lost has had its effect too."""
        kind, now = self.kinds[call.method], self.world.now()
        if kind == TOKENED:
            first = self.effects.setdefault(call.token, now)
            if first != now and now - first < self.window[call.method]:
                return
        if kind in (TOKENED, NON_IDEMPOTENT):
            self.record("effect", task=self.key, method=call.method, token=call.token)

    def _answer(self, answer: Answering, call: rpc.Call, outcome: int) -> None:
        if not (self.hung or self.down or self.silent):
            answer(rpc.Answer(call.number, outcome, self.utilization, self.queue))

    # Its end.

    def stop(self, why: str) -> None:
        """End at once, as a killed process does."""
        if not self.down:
            self.down = True
            self.record("task_down", task=self.key, run=self.run, why=why)

    def pause(self, seconds: float) -> None:
        """Stand still for a while."""
        self.paused_until = self.world.now() + round(seconds * 1e6)
