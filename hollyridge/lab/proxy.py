"""A stand-in proxy and the client beside it: holds SASP tables, picks lines, sends RPCs, reports what it met."""

from __future__ import annotations

import http.client
import time
from collections import defaultdict
from functools import partial
from random import Random

import gevent
from gevent.event import AsyncResult
from tenacity import RetryCallState, wait_random_exponential

from hollyridge.lab import rpc
from hollyridge.lab.record import Recorder
from hollyridge.otlp.sender import Figure, post, request_of
from hollyridge.sasp.client import Balancer, Held, LostError, RefusedError
from hollyridge.sasp.codec import Member


class Lines:
    """One table to pick from: of two drawn by weight the one with less out, by rotation, or by weight alone."""

    def __init__(self, pick: str, rng: Random) -> None:
        self.pick, self.random = pick, rng.random
        self.table: dict[str, float] = {}
        self.credit: dict[str, float] = {}

    def set(self, table: dict[str, float]) -> None:
        self.table = table
        self.credit = {task: self.credit.get(task, 0.0) for task in table}

    def draw(self, among: list[str]) -> str:
        point = self.random() * sum(self.table[task] for task in among)
        for task in among:
            point -= self.table[task]
            if point < 0:
                return task
        return among[-1]

    def choose(self, out: dict[str, int], avoid: set[str]) -> str | None:
        """A task, not one to be avoided while another is left; None without lines."""
        among = [task for task in self.table if task not in avoid] or list(self.table)
        if not among:
            return None
        if self.pick == "rotate":
            whole = sum(self.table[task] for task in among)
            for task in among:
                self.credit[task] += self.table[task] / whole
            best = max(among, key=self.credit.__getitem__)
            self.credit[best] -= 1
            return best
        first = self.draw(among)
        if self.pick == "random":
            return first
        second = self.draw(among)
        return second if out[second] < out[first] else first


class Pipe:
    """A connection to one task, dialled at the first call."""

    def __init__(self, task: str) -> None:
        self.task, self.sock, self.number = task, None, 0
        self.waiting: dict[int, AsyncResult] = {}
        self.dialling = None

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

    def call(self, proxy: str, method: int, token: str, work: float,
             timeout: float) -> tuple[int, rpc.Answer | None]:
        """Outcome and answer. NOT_SENT proves that it never ran."""
        if not self.dial(min(timeout, 0.25)):
            return rpc.NOT_SENT, None
        self.number += 1
        waiter = self.waiting[self.number] = AsyncResult()
        number = self.number
        try:
            rpc.send(self.sock, rpc.Call(number, proxy, method, token, work))
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

    def __init__(self, uid: str, host: str, zone: str, rate: float, plan: dict, standing: list[str], seed: int,
                 record: Recorder) -> None:
        self.uid, self.host, self.zone, self.rate, self.plan, self.record = uid, host, zone, rate, plan, record
        self.rng = Random(seed)
        self.methods = plan["methods"]
        self.groups = list(dict.fromkeys(m["group"] for m in self.methods))
        self.lines = {group: Lines(plan["pick"], self.rng) for group in self.groups}
        for lines in self.lines.values():
            lines.set(dict.fromkeys(standing, 1.0))
        record("standing", proxy=uid, zone=zone, tasks=standing, groups=self.groups)
        self.held, self.pipes = Held(), {}
        self.out: dict[str, int] = defaultdict(int)
        self.failed: dict[str, int] = defaultdict(int)
        self.avoid_until: dict[str, float] = {}
        self.sums: dict[tuple, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.rpcs: dict[int, list[int]] = defaultdict(lambda: [0, 0])
        self.loads: dict[str, tuple[float, int]] = {}
        self.token, self.life = 0, seed
        self.down = False
        self.late = 0.0
        self.cut: set[str] = set()
        self.factor = 1.0
        self.client: Balancer | None = None
        self.stream = 0
        self.deaf = False
        self.jobs = [gevent.spawn(job) for job in (self.listen, self.live, self.report)]

    # Orders.

    def listen(self) -> None:
        wait, attempt = wait_random_exponential(multiplier=0.1, max=1.5), 0
        while not self.down:
            self.stream += 1
            try:
                self.held.new_stream()
                client = self.client = Balancer(
                    tuple(self.plan["sasp"]), self.uid, source=self.host,
                    heard=partial(self.record.frame, "heard", self.uid, self.stream),
                    said=partial(self.record.frame, "said", self.uid, self.stream))
                self.record("stream", who=self.uid, stream=self.stream, up=True)
                client.start(self.groups)
                attempt = 0
                while not self.down:
                    while self.deaf:
                        gevent.sleep(0.05)
                    pushed = client.receive()
                    if pushed:
                        self.obey(pushed[1].groups)
            except (OSError, LostError, RefusedError):
                pass
            self.record("stream", who=self.uid, stream=self.stream, up=False)
            self.hang_up()
            attempt += 1
            state = RetryCallState(None, None, (), {})
            state.attempt_number = min(attempt, 10)
            gevent.sleep(0.02 + wait(state))

    def hang_up(self) -> None:
        client, self.client = self.client, None
        if client is not None:
            try:
                client.sock.shutdown(2)
            except OSError:
                pass
            client.close()

    def obey(self, groups) -> None:
        gevent.sleep(self.plan["apply_us"] * sum(len(g.weights) for g in groups) / 1e6)
        self.held.take(groups)
        for name in {g.group.name for g in groups}:
            if name in self.held.fresh:
                table = {self.key(m): float(e.weight) for m, e in self.held.lines(name).items()}
                self.lines[name].set(table)
        used = {task for lines in self.lines.values() for task in lines.table}
        for task in [t for t in self.pipes if t not in used and not self.out[t]]:
            self.pipes.pop(task).close()

    @staticmethod
    def key(member: Member) -> str:
        return f"{member.host}:{member.port}"

    # Work.

    def live(self) -> None:
        shares = [m["share"] for m in self.methods]
        while not self.down:
            gevent.sleep(self.rng.expovariate(max(1e-6, self.rate * self.factor)))
            method = self.rng.choices(range(len(shares)), shares)[0]
            mean = self.methods[method]["work_us"]
            work = self.rng.lognormvariate(0, 0.6) / 1.197 * mean
            gevent.spawn(self.client_rpc, method, work)

    def client_rpc(self, method: int, work: float) -> None:
        """A client's RPC with its own retries: after any failure where that is safe, else only after proof."""
        terms, begun = self.methods[method], time.monotonic()
        self.token += 1
        token = f"{self.uid}.{self.life}.{self.token}"
        deadline = begun + terms["deadline_us"] / 1e6
        outcome, tries = rpc.NOT_SENT, 0
        while True:
            self.rpcs[method][0] += 1
            outcome = self.send(method, token, work, deadline)
            if outcome not in (rpc.OK, rpc.PUSHED_BACK, rpc.NOT_SENT):
                self.rpcs[method][1] += 1
            tries += 1
            safe = terms["repeats"] == "idempotent" or outcome in (rpc.NOT_SENT, rpc.PUSHED_BACK)
            if outcome == rpc.OK or tries > self.plan["client_retries"] or not (safe or self.plan["reckless"]):
                break
            pause = self.rng.uniform(0.5, 1.5) * 0.05 * 2 ** tries
            if time.monotonic() + pause >= deadline:
                break
            gevent.sleep(pause)
        took = round((time.monotonic() - begun) * 1e6)
        self.record("done", proxy=self.uid, method=method, ok=outcome == rpc.OK, took=took, tries=tries)

    def send(self, method: int, token: str, work: float, deadline: float) -> int:
        lines = self.lines[self.methods[method]["group"]]
        now = time.monotonic()
        avoid = {task for task, until in self.avoid_until.items() if until > now}
        task = lines.choose(self.out, avoid)
        if task is None:
            self.record("no_line", proxy=self.uid, method=method)
            return rpc.NOT_SENT
        pipe = self.pipes.setdefault(task, Pipe(task))
        timeout = max(0.01, (deadline - now) * self.plan["try_share"])
        self.record("try", proxy=self.uid, task=task, method=method, token=token)
        self.out[task] += 1
        if task.split(".")[1] in self.cut:
            gevent.sleep(timeout)
            outcome, answer = rpc.NO_ANSWER, None
        else:
            outcome, answer = pipe.call(self.uid, method, token, work, timeout)
        self.out[task] -= 1
        took = time.monotonic() - now
        row = self.sums[task, method]
        row[0] += 1
        if outcome == rpc.OK:
            row[2] += took
            self.failed[task] = 0
        else:
            row[1] += 1
            self.failed[task] += 1
            after = self.plan["outlier_after"]
            if after and self.failed[task] >= after:
                self.failed[task] = 0
                self.avoid_until[task] = now + self.rng.uniform(2.0, 4.0)
        if answer is not None:
            self.loads[task] = answer.util, answer.queue
        return outcome

    # Reports.

    def report(self) -> None:
        period = self.plan["period_us"] / 1e6
        gevent.sleep(self.rng.uniform(0, period))
        begun = time.time_ns()
        while not self.down:
            gevent.sleep(period)
            end = time.time_ns()
            figures = self.figures(begun, end)
            begun = end
            if figures:
                gevent.spawn_later(self.late + self.rng.uniform(0, 0.1), self.post, figures)

    def figures(self, begun: int, end: int) -> list[Figure]:
        sums, self.sums = self.sums, defaultdict(lambda: [0.0, 0.0, 0.0])
        rpcs, self.rpcs = self.rpcs, defaultdict(lambda: [0, 0])
        loads, self.loads = self.loads, {}
        out = []
        for (task, method), row in sums.items():
            place = {"proxy": self.uid, "zone": self.zone, "task": task, "method": self.methods[method]["name"]}
            for name, value in zip(("tries", "tries.failed", "tries.time"), row):
                out.append(Figure(f"hollyridge.{name}", value, place, end, begun))
        for method, (came, unanswered) in rpcs.items():
            place = {"proxy": self.uid, "method": self.methods[method]["name"]}
            out.append(Figure("hollyridge.rpcs", came, place, end, begun))
            out.append(Figure("hollyridge.rpcs.unanswered", unanswered, place, end, begun))
        for task, (util, queue) in loads.items():
            out.append(Figure("hollyridge.task.util", util, {"task": task}, end))
            out.append(Figure("hollyridge.task.queue", queue, {"task": task}, end))
        return out

    def post(self, figures: list[Figure]) -> None:
        """Send a report; after a time-out the same again, which is to be counted once."""
        request = request_of(self.uid, figures)
        for _ in range(2):
            if self.down:
                return
            connection = http.client.HTTPConnection(*self.plan["otlp"], timeout=2)
            try:
                status, _ = post(connection, request)
                if status == 200:
                    return
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            gevent.sleep(0.3)

    def stop(self) -> None:
        self.down = True
        self.hang_up()
        gevent.killall(self.jobs, block=False)
        for pipe in self.pipes.values():
            pipe.close()
        self.record("proxy_down", proxy=self.uid)
