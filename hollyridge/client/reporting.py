"""Load reports of a proxy: what it saw of tasks and methods, summed by period and sent over OTLP.

Summing needs no I/O; `send` and `run` post.
"""

from __future__ import annotations

import http.client
import time
from collections import defaultdict
from collections.abc import Callable
from http import HTTPStatus

from hollyridge.otlp.sender import Figure, post, request_of

HTTP_TIMEOUT_S = 2
SEND_ATTEMPTS = 2  # a report that is received twice counts once
RETRY_SLEEP_S = 0.3


class AttemptSums:
    """Attempts at one task and method: how many, how many of them failed, and the seconds that the others took."""

    __slots__ = ("attempts", "failed", "seconds")

    def __init__(self) -> None:
        self.attempts = 0.0
        self.failed = 0.0
        self.seconds = 0.0


class RpcSums:
    """RPCs of one method: how many were received, and how many that were admitted got no answer."""

    __slots__ = ("received", "unanswered")

    def __init__(self) -> None:
        self.received = 0
        self.unanswered = 0


class Reporter:
    """Reports for the proxy `uid` in `zone`.

    `add_attempt`, `add_rpc` and `set_load` may be called from anywhere in its own thread.

    Attributes:
        lost: Reports that could not be sent.
    """

    def __init__(self, uid: str, zone: str) -> None:
        self.uid = uid
        self.zone = zone
        self.attempts: dict[tuple[str, str], AttemptSums] = defaultdict(AttemptSums)
        self.rpcs: dict[str, RpcSums] = defaultdict(RpcSums)
        self.loads: dict[str, dict[str, float]] = {}
        self.lost = 0

    def add_rpc(self, method: str, unanswered: bool = False) -> None:
        """An RPC was received; or, called again, one that was admitted got no answer."""
        sums = self.rpcs[method]
        if unanswered:
            sums.unanswered += 1
        else:
            sums.received += 1

    def add_attempt(self, task: str, method: str, ok: bool, seconds: float) -> None:
        """An attempt at a task has ended."""
        sums = self.attempts[task, method]
        sums.attempts += 1
        sums.failed += not ok
        sums.seconds += seconds if ok else 0.0

    def set_load(self, task: str, **figures: float) -> None:
        """The load that a task's answer carried: util, queue."""
        self.loads[task] = figures

    def figures(self, begun: int, end: int) -> list[Figure]:
        """What was summed since the last call; times in ns since the epoch.

        >>> reporter = Reporter("gw-1", "abdali"); reporter.add_attempt("127.0.0.1:80", "read", True, 0.25)
        >>> [(figure.name, figure.value) for figure in reporter.figures(0, 10)]
        [('hollyridge.tries', 1.0), ('hollyridge.tries.failed', 0.0), ('hollyridge.tries.time', 0.25)]
        >>> reporter.figures(10, 20)
        []
        """
        attempts = self.attempts
        rpcs = self.rpcs
        loads = self.loads
        self.attempts = defaultdict(AttemptSums)
        self.rpcs = defaultdict(RpcSums)
        self.loads = {}
        found = []
        for (task, method), sums in attempts.items():
            place = {"proxy": self.uid, "zone": self.zone, "task": task, "method": method}
            found.append(Figure("hollyridge.tries", sums.attempts, place, end, begun))
            found.append(Figure("hollyridge.tries.failed", sums.failed, place, end, begun))
            found.append(Figure("hollyridge.tries.time", sums.seconds, place, end, begun))
        for method, sums in rpcs.items():
            place = {"proxy": self.uid, "method": method}
            found.append(Figure("hollyridge.rpcs", sums.received, place, end, begun))
            found.append(Figure("hollyridge.rpcs.unanswered", sums.unanswered, place, end, begun))
        for task, load in loads.items():
            found += [Figure(f"hollyridge.task.{name}", value, {"task": task}, end) for name, value in load.items()]
        return found

    def send(
        self,
        address: tuple[str, int],
        figures: list[Figure],
        sleep: Callable[[float], None] = time.sleep,
        connection: Callable = http.client.HTTPConnection,
    ) -> bool:
        """Post a report; again the same if that fails. False, and `lost` grows, if both fail."""
        request = request_of(self.uid, figures)
        for _ in range(SEND_ATTEMPTS):
            http_connection = connection(*address, timeout=HTTP_TIMEOUT_S)
            try:
                status, _ = post(http_connection, request)
            except (OSError, http.client.HTTPException):
                status = 0
            finally:
                http_connection.close()
            if status == HTTPStatus.OK:
                return True
            sleep(RETRY_SLEEP_S)
        self.lost += 1
        return False

    def run(
        self,
        address: tuple[str, int],
        period: float,
        stopped: Callable[[], bool],
        sleep: Callable[[float], None] = time.sleep,
        **options: Callable,
    ) -> None:
        """Report each `period` seconds to an assigner's OTLP address until `stopped()`; `options` are of `send`."""
        begun = time.time_ns()
        while not stopped():
            sleep(period)
            end = time.time_ns()
            figures = self.figures(begun, end)
            begun = end
            if figures:
                self.send(address, figures, sleep, **options)
