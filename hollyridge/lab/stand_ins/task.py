"""Stand-in task: cores and a queue, with the faults of a real task."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import ClassVar

from hollyridge.lab.environment import World
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins import rpc
from hollyridge.lab.stand_ins.task_model import KeyCache, OverloadBudget, TaskSpec, Utilization, WarmUp, service_time_us

TOKENED, NON_IDEMPOTENT = "tokened", "non-idempotent"
LOAD_INTERVAL_S = 0.5  # between two measurements of the load that answers report

AnswerCallback = Callable[[rpc.Answer], None]


class Task:
    """A task that handles RPCs, in the live and the simulated environment alike.

    Attributes:
        slots: Semaphore of the RPCs that are worked on at once.
        waiting: Number of RPCs in the queue.
        in_progress: Number of RPCs and handshakes that are worked on.
        connections: Number of open connections.
        down: Whether the run has ended.
        draining: Whether new RPCs are pushed back.
        paused_until: End of the current pause, in microseconds.
        utilization: Utilization that answers report, as a fraction.
        queue: Length of the queue that answers report.
        silent: Whether the machine has vanished: it accepts nothing and answers nothing.
        hung: Whether the task works but does not answer.
        error_rate: Fraction of the RPCs that fail immediately.
        method_failure: [method, fraction that fails, whether these stay unanswered]; empty for none.
        slowdown: Factor of the time that work takes.
        handshake_factor: Factor of the work of a new connection.
        connect_delay_s: Additional time to open a connection, in seconds.
        false_load: [form, reported fraction] of a false load in answers, where the form is "low", "zero", "stuck" or
            "busy"; empty for none.
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

    def __init__(  # noqa: PLR0913 - the keywords of the command that starts a task
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
        on_crash: Callable[[Task], None],
    ) -> None:
        """Start a run of a task.

        Args:
            world: Clock and scheduler.
            name: Name of the task in the fleet.
            key: Address that it listens at.
            run: Identifier of this run.
            build: Specification of the task.
            cold: Whether it has to warm up.
            kinds: Effect of repeated attempts, by method: "tokened", "non-idempotent" or another.
            window: Time for which repeated tokens are dropped, in microseconds, by method.
            effects: Time at which each token first took effect; shared by the tasks that drop each other's repeats.
            record: Recorder of its events.
            seed: Seed of the random generator of its faults.
            on_crash: Function that is called when the task crashes from overload.
        """
        self.world = world
        self.name = name
        self.key = key
        self.run = run
        self.spec = build
        self.record = record
        self.on_crash = on_crash
        self.warm_up = WarmUp(build, world.now() if cold else None)
        self.budget = OverloadBudget(build, self.warm_up)
        self.cores_in_use = Utilization(build.cores, world.now())
        self.cache = KeyCache(build)
        self.kinds = kinds
        self.window = window
        self.effects = effects
        self.draw = Random(seed).random
        self.slots = world.semaphore(build.slots)
        self.waiting = 0
        self.in_progress = 0
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
            born=self.warm_up.started_us or 0,
            cores=self.spec.cores,
            speed=self.spec.speed,
            cold_from=self.spec.cold_from,
            cold_us=self.spec.cold_us,
        )

    def _measure_load(self) -> None:
        while not self.down:
            self.world.sleep(LOAD_INTERVAL_S)
            form, fraction = self.false_load or ("", 1.0)
            utilization, queue = self.cores_in_use.read(self.world.now()), self.waiting
            if form == "busy":
                utilization, queue = 1.0, self.spec.queue
            if form != "stuck":
                reported = {"zero": 0.0, "low": fraction}.get(form, 1.0)
                self.utilization = utilization * reported
                self.queue = round(queue * reported)

    # Connections.

    def connect(self) -> bool:
        """Accept a connection, whose handshake is work; return False if the limit is reached or the task is down."""
        if self.down or self.connections >= self.spec.connections:
            return False
        self.connections += 1
        self.record("connected", task=self.key)
        self.world.spawn(self._work, self.spec.handshake_us * self.spec.speed * self.handshake_factor)
        return True

    def disconnect(self) -> None:
        """Count a connection that has ended."""
        self.connections -= 1

    # RPCs.

    def receive_rpc(self, call: rpc.Call, answer: AnswerCallback) -> None:
        """Handle an RPC; `answer` is called with its answer, if there is one."""
        if self.down or self.silent:
            return
        used = self.budget.add(self.world.now(), call.work)
        self._record_rpc(call, used)
        if used > 1:
            self._crash()
        elif self.draining or self.waiting >= self.spec.queue:
            self._answer(answer, call, rpc.PUSHED_BACK)
        elif self.error_rate and self.draw() < self.error_rate:
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

    def _crash(self) -> None:
        self.record("fell", task=self.key, run=self.run)
        self.stop("fell")
        self.on_crash(self)

    def _method_fails(self, call: rpc.Call) -> bool:
        if not self.method_failure:
            return False
        method, fraction, _ = self.method_failure
        return method == call.method and self.draw() < fraction

    def _handle(self, answer: AnswerCallback, call: rpc.Call) -> None:
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            if self.down:
                return
            self._take_effect(call)
            self._work(call.work * self.cache.work_fraction(self.world.now(), call.key))
        self._answer(answer, call, rpc.OK)

    def _work(self, work_us: float) -> None:
        self.in_progress += 1
        self.cores_in_use.change(self.world.now(), 1)
        duration_us = (
            service_time_us(self.spec, self.warm_up, self.world.now(), work_us, self.in_progress) * self.slowdown
        )
        self.world.sleep(duration_us / 1e6)
        while self.paused_until > self.world.now():
            self.world.sleep((self.paused_until - self.world.now()) / 1e6)
        self.in_progress -= 1
        self.cores_in_use.change(self.world.now(), -1)

    def _take_effect(self, call: rpc.Call) -> None:
        """Record the effect of an RPC as its work begins, so that it has taken effect even if the answer is lost."""
        repeats, now = self.kinds[call.method], self.world.now()
        if repeats == TOKENED:
            first = self.effects.setdefault(call.token, now)
            if first != now and now - first < self.window[call.method]:
                return
        if repeats in (TOKENED, NON_IDEMPOTENT):
            self.record("effect", task=self.key, method=call.method, token=call.token)

    def _answer(self, answer: AnswerCallback, call: rpc.Call, outcome: int) -> None:
        if not (self.hung or self.down or self.silent):
            answer(rpc.Answer(call.number, outcome, self.utilization, self.queue))

    def stop(self, reason: str) -> None:
        """End the run immediately, as a killed process does."""
        if not self.down:
            self.down = True
            self.record("task_down", task=self.key, run=self.run, why=reason)

    def pause(self, seconds: float) -> None:
        """Pause all work for this time."""
        self.paused_until = self.world.now() + round(seconds * 1e6)
