"""A stand-in proxy and the client beside it: holds SASP tables, picks lines, sends RPCs, reports what it met."""

from __future__ import annotations

import time
from collections import defaultdict
from functools import lru_cache
from itertools import accumulate
from math import prod
from random import Random

import gevent
import zmq.green as zmq
from gevent.event import AsyncResult

from hollyridge.client import ChpGateway, Gateway, Reporter, SaspGateway
from hollyridge.lab.reports.record import Recorder
from hollyridge.lab.stand_ins import rpc
from hollyridge.otlp.sender import Figure


@lru_cache(maxsize=8)
def popularity(keys: int, zipf: float) -> list[float]:
    """Cumulative shares of keys by rank."""
    return list(accumulate(rank**-zipf for rank in range(1, keys + 1)))


class Pipe:
    """A connection to one task, dialled at the first call."""

    def __init__(self, task: str) -> None:
        self.task, self.sock, self.number = task, None, 0
        self.waiting: dict[int, AsyncResult] = {}

    def dial(self, timeout: float) -> bool:
        if self.sock is not None:
            return True
        host, _, port = self.task.rpartition(":")
        try:
            sock = gevent.socket.create_connection((host, int(port)), timeout=timeout)
            sock.settimeout(None)
        except OSError:
            return self.sock is not None
        if self.sock is not None:  # another call was quicker
            sock.close()
            return True
        self.sock = sock
        gevent.spawn(self.listen, sock)
        return True

    def listen(self, sock) -> None:
        try:
            for answer in rpc.receive(sock, calls=False):
                waiter = self.waiting.pop(answer.number, None)
                if waiter is not None:
                    waiter.set(answer)
        except (OSError, ValueError):
            pass
        self.close(sock)

    def close(self, sock=None) -> None:
        sock = sock or self.sock
        if sock is not None and sock is self.sock:
            self.sock = None
            for waiter in self.waiting.values():
                waiter.set(None)
            self.waiting = {}
        if sock is not None:
            sock.close()

    def call(
        self, proxy: str, method: int, token: str, work: float, timeout: float, key: int = -1
    ) -> tuple[int, rpc.Answer | None]:
        """Outcome and answer. NOT_SENT proves that it never ran."""
        if not self.dial(min(timeout, 0.25)):
            return rpc.NOT_SENT, None
        self.number += 1
        waiter = self.waiting[self.number] = AsyncResult()
        number = self.number
        try:
            rpc.send(self.sock, rpc.Call(number, proxy, method, token, work, key))
        except OSError:
            self.waiting.pop(number, None)
            self.close()
            return rpc.NO_ANSWER, None
        try:
            answer = waiter.get(timeout=timeout)
        except gevent.Timeout:
            self.waiting.pop(number, None)
            return rpc.NO_ANSWER, None
        return (answer.outcome if answer else rpc.NO_ANSWER), answer


class Proxy:
    """`plan` holds what the day says of proxies and clients (see `house`), `rate` its RPCs a second."""

    def __init__(
        self,
        world,
        uid: str,
        host: str,
        zone: str,
        rate: float,
        plan: dict,
        standing: list[str],
        seed: int,
        record: Recorder,
        home: int = 0,
    ) -> None:
        self.world = world
        self.uid, self.host, self.zone, self.rate, self.plan, self.record = uid, host, zone, rate, plan, record
        self.rng = Random(seed)
        self.methods = plan["methods"]
        self.groups = list(dict.fromkeys(m["group"] for m in self.methods))
        self.names = [m["name"] for m in self.methods]
        record(
            "standing", proxy=uid, zone=zone, tasks=standing, groups=self.groups, names=self.names, front=plan["front"]
        )
        self.stream, self.deaf, self.pipes = 0, False, {}
        self.gateway = self.open(plan["front"], standing)
        self.gateway.way = home % self.gateway.ways
        self.out: dict[str, int] = defaultdict(int)
        self.failed: dict[str, int] = defaultdict(int)
        self.avoid_until: dict[str, float] = {}
        self.reporter = Reporter(uid, zone)
        self.token, self.life = 0, seed
        self.down = False
        self.late = 0.0
        self.cut: set[str] = set()
        self.factors: dict[str, float] = {}
        self.links: dict[str, list] = {}  # second figure of addresses: seconds more each way, part lost
        self.stalled_until = 0
        self.away: set[int] = set()  # assigners that no stream of its reaches
        self.slow_orders = 0.0  # seconds to read a message of orders
        self.gateway.on_change(self.tidy)
        self.gateway.on_change(
            lambda gateway: record("applied", proxy=uid, assigner=gateway.way, asked=gateway.judge.accepted_token)
        )
        self.gateway.watch = self.watch
        self.jobs = [world.spawn(job) for job in (self.gateway.run, self.live, self.report)]

    # Orders.

    def open(self, front: str, standing: list[str]) -> Gateway:
        terms = dict(standing=dict.fromkeys(standing, 1.0), pick=self.plan["pick"], rng=self.rng, sleep=gevent.sleep)
        if front == "sasp":
            how = dict(
                source=self.host,
                heard=lambda raw: self.record.frame("heard", self.uid, self.stream, raw),
                said=lambda raw: self.record.frame("said", self.uid, self.stream, raw),
            )
            return SaspGateway(
                self.plan["sasp"],
                self.uid,
                self.names,
                {m["name"]: m["group"] for m in self.methods},
                how,
                receive_s=0.5,
                before=lambda groups: self.apply(sum(len(g.weights) for g in groups)),
                **terms,
            )
        how = dict(
            source=self.host, zmq=zmq, heard=lambda parts: self.record.parts("told", self.uid, self.stream, parts)
        )
        return ChpGateway(self.plan["clone"], self.uid, self.names, how, before=self.apply, **terms)

    def watch(self, begins: bool) -> None:
        if begins and self.gateway.way in self.away:
            raise ConnectionError("no way to the assigner")
        self.stream += begins
        self.record(
            "stream", who=self.uid, stream=self.stream, up=begins, why=self.gateway.trouble, assigner=self.gateway.way
        )

    def apply(self, lines: int) -> None:
        """Applying takes time; one that is deaf reads no further."""
        self.world.sleep(self.plan["apply_us"] * lines / 1e6 + self.slow_orders)
        while self.deaf:
            self.world.sleep(0.05)
        self.stall()

    def stall(self) -> None:
        """No turn, then all that came at once."""
        while self.stalled_until > self.world.now():
            self.world.sleep((self.stalled_until - self.world.now()) / 1e6)

    def hang_up(self) -> None:
        self.gateway.hang_up()

    def tidy(self, gateway: Gateway) -> None:
        used = {task for lines in gateway.tables.values() for task in lines}
        for task in [t for t in self.pipes if t not in used and not self.out[t]]:
            self.pipes.pop(task).close()

    # What a simulated proxy has otherwise.

    def seconds(self) -> float:
        return self.world.now() / 1e6

    def wall(self) -> int:
        return time.time_ns()

    def dial(self, task: str) -> Pipe:
        return Pipe(task)

    def say(self, figures: list[Figure]) -> None:
        self.reporter.send(tuple(self.plan["otlp"][self.gateway.way]), figures, gevent.sleep)

    def pipe(self, task: str) -> Pipe:
        pipe = self.pipes.get(task)
        if pipe is None:
            pipe = self.pipes[task] = self.dial(task)
        return pipe

    # Work.

    def live(self) -> None:
        shares = [m["share"] for m in self.methods]
        while not self.down:
            self.world.sleep(self.rng.expovariate(max(1e-6, self.rate * prod(self.factors.values()))))
            method = self.rng.choices(range(len(shares)), shares)[0]
            mean = self.methods[method]["work_us"]
            work = self.rng.lognormvariate(0, 0.6) / 1.197 * mean
            key = -1
            if self.plan["keys"]:
                shares_of_keys = popularity(self.plan["keys"], self.plan["zipf"])
                key = self.rng.choices(range(self.plan["keys"]), cum_weights=shares_of_keys)[0]
            self.world.spawn(self.client_rpc, method, work, key)

    def client_rpc(self, method: int, work: float, key: int) -> None:
        """A client's RPC with its own retries: after any failure where that is safe, else only after proof."""
        terms, begun = self.methods[method], self.seconds()
        self.token += 1
        token = f"{self.uid}.{self.life}.{self.token}"
        deadline = begun + terms["deadline_us"] / 1e6
        outcome, tries = rpc.NOT_SENT, 0
        while True:
            self.stall()
            self.reporter.came(terms["name"])
            level, retry = self.gateway.level_for(terms["name"])
            outcome = rpc.PUSHED_BACK
            if self.rng.random() < level:
                outcome = self.send(method, token, work, key, deadline)
                for _ in range((0, 1, 1, 2)[retry]):  # as the assigner orders
                    never_ran = outcome in (rpc.PUSHED_BACK, rpc.NOT_SENT)
                    if outcome == rpc.OK or not never_ran and retry == 1 or self.seconds() + 0.05 >= deadline:
                        break
                    outcome = self.send(method, token, work, key, deadline)
            if outcome not in (rpc.OK, rpc.PUSHED_BACK, rpc.NOT_SENT):
                self.reporter.came(terms["name"], unanswered=True)
            tries += 1
            safe = terms["repeats"] == "idempotent" or outcome in (rpc.NOT_SENT, rpc.PUSHED_BACK)
            if outcome == rpc.OK or tries > self.plan["client_retries"] or not (safe or self.plan["reckless"]):
                break
            pause = self.rng.uniform(0.5, 1.5) * 0.05 * 2**tries
            if self.seconds() + pause >= deadline:
                break
            self.world.sleep(pause)
        took = round((self.seconds() - begun) * 1e6)
        self.record("done", proxy=self.uid, method=method, ok=outcome == rpc.OK, took=took, tries=tries)

    def send(self, method: int, token: str, work: float, key: int, deadline: float) -> int:
        now = self.seconds()
        avoid = {task for task, until in self.avoid_until.items() if until > now}
        task = self.gateway.pick(self.names[method], self.out.__getitem__, avoid)
        if task is None:
            self.record("no_line", proxy=self.uid, method=method)
            return rpc.NOT_SENT
        pipe = self.pipe(task)
        timeout = max(0.01, (deadline - now) * self.plan["try_share"])
        self.record("try", proxy=self.uid, task=task, method=method, token=token)
        self.out[task] += 1
        outcome, answer = self.over(pipe, task.split(".")[1], timeout, method, token, work, key)
        self.out[task] -= 1
        took = self.seconds() - now
        self.reporter.met(task, self.names[method], outcome == rpc.OK, took)
        if outcome == rpc.OK:
            self.failed[task] = 0
        else:
            self.failed[task] += 1
            after = self.plan["outlier_after"]
            if after and self.failed[task] >= after:
                self.failed[task] = 0
                self.avoid_until[task] = now + self.rng.uniform(2.0, 4.0)
        if answer is not None:
            self.reporter.load(task, util=answer.util, queue=answer.queue)
        return outcome

    def over(self, pipe: Pipe, octet: str, timeout: float, *call) -> tuple[int, rpc.Answer | None]:
        """Call over the network between two zones, with what is wrong there: what is lost is lost on the way there or
        on the way back, and what comes too late has run."""
        method, token, work, key = call
        delay, lost = self.links.get(octet, (0.0, self.plan["lost"]))
        if octet in self.cut or lost and self.rng.random() < lost:
            self.world.sleep(timeout)
            return rpc.NO_ANSWER, None
        if not (delay or lost):
            return pipe.call(self.uid, method, token, work, timeout, key)
        begun = self.seconds()
        self.world.sleep(min(delay, timeout))
        left = timeout - 2 * delay
        outcome, answer = pipe.call(self.uid, method, token, work, max(left, 0.001), key)
        back = begun + timeout - self.seconds()
        if answer is not None and (left <= 0 or self.rng.random() < lost):
            outcome, answer = rpc.NO_ANSWER, None
        self.world.sleep(back if outcome == rpc.NO_ANSWER else min(delay, back))
        return outcome, answer

    # Reports.

    def report(self) -> None:
        period = self.plan["period_us"] / 1e6
        self.world.sleep(self.rng.uniform(0, period))
        begun = self.wall()
        while not self.down:
            self.world.sleep(period)
            end = self.wall()
            figures = self.reporter.figures(begun, end)
            begun = end
            if figures:
                self.world.later(self.late + self.rng.uniform(0, 0.1), self.post, figures)

    def post(self, figures: list[Figure]) -> None:
        if not self.down and self.gateway.way not in self.away:
            self.say(figures)

    def stop(self) -> None:
        self.down = True
        self.gateway.stop()
        gevent.killall([job for job in self.jobs if job is not None], block=False)
        for pipe in self.pipes.values():
            pipe.close()
        self.record("proxy_down", proxy=self.uid)
