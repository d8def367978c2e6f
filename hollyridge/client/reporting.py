"""Load reports of a proxy: measurements of tasks and methods, summed per period and sent over OTLP.

Only `send` and `run` do I/O.
"""

from __future__ import annotations

import http.client
import time
from collections import defaultdict
from collections.abc import Callable
from http import HTTPStatus

from hollyridge.otlp.sender import MetricPoint, build_export_request, post

HTTP_TIMEOUT_S = 2
SEND_ATTEMPTS = 2  # a repeated attempt is safe, because a report that is received twice counts once
RETRY_SLEEP_S = 0.3


class AttemptSums:
    """Sums over the attempts at one task and method.

    Attributes:
        attempts: Number of attempts.
        failed: Number of failed attempts.
        seconds: Total duration of the successful attempts, in seconds.
    """

    __slots__ = ("attempts", "failed", "seconds")

    def __init__(self) -> None:
        self.attempts = 0.0
        self.failed = 0.0
        self.seconds = 0.0


class RpcSums:
    """Sums over the RPCs of one method.

    Attributes:
        received: Number of RPCs received.
        unanswered: Number of admitted RPCs that got no answer.
    """

    __slots__ = ("received", "unanswered")

    def __init__(self) -> None:
        self.received = 0
        self.unanswered = 0


class Reporter:
    """Load reports of one proxy.

    `add_attempt`, `add_rpc` and `set_load` may be called from any code that runs in the reporter's own thread.

    Attributes:
        uid: Name of the proxy.
        zone: Zone of the proxy.
        lost_reports: Number of reports that could not be sent.
    """

    def __init__(self, uid: str, zone: str) -> None:
        self.uid = uid
        self.zone = zone
        self.attempts: dict[tuple[str, str], AttemptSums] = defaultdict(AttemptSums)  # by task and method
        self.rpcs: dict[str, RpcSums] = defaultdict(RpcSums)  # by method
        self.loads: dict[str, dict[str, float]] = {}  # values by name, by task
        self.lost_reports = 0

    def add_rpc(self, method: str, unanswered: bool = False) -> None:
        """Count an RPC as received or, in a second call with `unanswered`, as admitted without an answer."""
        sums = self.rpcs[method]
        if unanswered:
            sums.unanswered += 1
        else:
            sums.received += 1

    def add_attempt(self, task: str, method: str, ok: bool, seconds: float) -> None:
        """Count an attempt at a task that has ended.

        Args:
            task: Address (`host:port`) of the task.
            method: Name of the method.
            ok: Whether the attempt succeeded.
            seconds: Duration of the attempt, in seconds.
        """
        sums = self.attempts[task, method]
        sums.attempts += 1
        sums.failed += not ok
        sums.seconds += seconds if ok else 0.0

    def set_load(self, task: str, **values: float) -> None:
        """Store the load that an answer of a task contained, as the keyword arguments `util` and `queue`."""
        self.loads[task] = values

    def metric_points(self, begin_ns: int, end_ns: int) -> list[MetricPoint]:
        """Return the data points summed since the last call and start new sums.

        The period begins at `begin_ns` and ends at `end_ns`, in nanoseconds since the Unix epoch.

        >>> reporter = Reporter("gw-1", "abdali"); reporter.add_attempt("127.0.0.1:80", "read", True, 0.25)
        >>> [(point.name, point.value) for point in reporter.metric_points(0, 10)]
        [('hollyridge.tries', 1.0), ('hollyridge.tries.failed', 0.0), ('hollyridge.tries.time', 0.25)]
        >>> reporter.metric_points(10, 20)
        []
        """
        attempts = self.attempts
        rpcs = self.rpcs
        loads = self.loads
        self.attempts = defaultdict(AttemptSums)
        self.rpcs = defaultdict(RpcSums)
        self.loads = {}
        points = []
        for (task, method), sums in attempts.items():
            attributes = {"proxy": self.uid, "zone": self.zone, "task": task, "method": method}
            points.append(MetricPoint("hollyridge.tries", sums.attempts, attributes, end_ns, begin_ns))
            points.append(MetricPoint("hollyridge.tries.failed", sums.failed, attributes, end_ns, begin_ns))
            points.append(MetricPoint("hollyridge.tries.time", sums.seconds, attributes, end_ns, begin_ns))
        for method, sums in rpcs.items():
            attributes = {"proxy": self.uid, "method": method}
            points.append(MetricPoint("hollyridge.rpcs", sums.received, attributes, end_ns, begin_ns))
            points.append(MetricPoint("hollyridge.rpcs.unanswered", sums.unanswered, attributes, end_ns, begin_ns))
        for task, load in loads.items():
            points += [
                MetricPoint(f"hollyridge.task.{name}", value, {"task": task}, end_ns) for name, value in load.items()
            ]
        return points

    def send(
        self,
        address: tuple[str, int],
        metric_points: list[MetricPoint],
        sleep: Callable[[float], None] = time.sleep,
        connection: Callable = http.client.HTTPConnection,
    ) -> bool:
        """Send a report, with one repeated attempt after a failure, and return whether it was received.

        A report that could not be sent is counted in `lost_reports`.

        Args:
            address: Host and port of the receiver.
            metric_points: Data points of the report.
            sleep: Function that sleeps for the given number of seconds.
            connection: Function that creates an HTTP connection.
        """
        request = build_export_request(self.uid, metric_points)
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
        self.lost_reports += 1
        return False

    def run(
        self,
        address: tuple[str, int],
        period: float,
        stopped: Callable[[], bool],
        sleep: Callable[[float], None] = time.sleep,
        **options: Callable,
    ) -> None:
        """Send a report in each period until `stopped()` returns True.

        Args:
            address: Host and port of the assigner's OTLP receiver.
            period: Interval between reports, in seconds.
            stopped: Function that returns whether to stop.
            sleep: Function that sleeps for the given number of seconds.
            options: Further options of `send`.
        """
        begin_ns = time.time_ns()
        while not stopped():
            sleep(period)
            end_ns = time.time_ns()
            metric_points = self.metric_points(begin_ns, end_ns)
            begin_ns = end_ns
            if metric_points:
                self.send(address, metric_points, sleep, **options)
