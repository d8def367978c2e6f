"""What a proxy met, summed by period and said over OTLP. Summing needs no I/O; `run` posts."""

from __future__ import annotations

import http.client
import time
from collections import defaultdict
from collections.abc import Callable

from hollyridge.otlp.sender import Figure, post, request_of


class Reporter:
    """For the proxy `uid` in `zone`. `met`, `came` and `load` may be called from anywhere in its own thread."""

    def __init__(self, uid: str, zone: str) -> None:
        self.uid, self.zone = uid, zone
        self.sums: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
        self.rpcs: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.loads: dict[str, dict[str, float]] = {}
        self.lost = 0

    def came(self, method: str, unanswered: bool = False) -> None:
        """An RPC came; or, told again, one that was let in got no answer."""
        self.rpcs[method][unanswered] += 1

    def met(self, task: str, method: str, ok: bool, seconds: float) -> None:
        """A try at a task ended."""
        row = self.sums[task, method]
        row[0] += 1
        row[1] += not ok
        row[2] += seconds if ok else 0.0

    def load(self, task: str, **figures: float) -> None:
        """What a task's answer told of its load: util, queue."""
        self.loads[task] = figures

    def figures(self, begun: int, end: int) -> list[Figure]:
        """What was met since the last call; times in ns since the epoch.

        >>> reporter = Reporter("gw-1", "abdali"); reporter.met("127.0.0.1:80", "read", True, 0.25)
        >>> [(f.name, f.value) for f in reporter.figures(0, 10)]
        [('hollyridge.tries', 1.0), ('hollyridge.tries.failed', 0.0), ('hollyridge.tries.time', 0.25)]
        >>> reporter.figures(10, 20)
        []
        """
        sums, self.sums = self.sums, defaultdict(lambda: [0.0, 0.0, 0.0])
        rpcs, self.rpcs = self.rpcs, defaultdict(lambda: [0, 0])
        loads, self.loads = self.loads, {}
        out = []
        for (task, method), row in sums.items():
            place = {"proxy": self.uid, "zone": self.zone, "task": task, "method": method}
            for name, value in zip(("tries", "tries.failed", "tries.time"), row):
                out.append(Figure(f"hollyridge.{name}", value, place, end, begun))
        for method, (came, unanswered) in rpcs.items():
            place = {"proxy": self.uid, "method": method}
            out.append(Figure("hollyridge.rpcs", came, place, end, begun))
            out.append(Figure("hollyridge.rpcs.unanswered", unanswered, place, end, begun))
        for task, told in loads.items():
            out += [Figure(f"hollyridge.task.{name}", value, {"task": task}, end) for name, value in told.items()]
        return out

    def send(
        self,
        address: tuple[str, int],
        figures: list[Figure],
        sleep: Callable[[float], None] = time.sleep,
        connection: Callable = http.client.HTTPConnection,
    ) -> bool:
        """Post a report; after a time-out the same again, which is counted once. False, and `lost` grows, if it
        could not be said."""
        request = request_of(self.uid, figures)
        for _ in range(2):
            line = connection(*address, timeout=2)
            try:
                status, _ = post(line, request)
                if status == 200:
                    return True
            except (OSError, http.client.HTTPException):
                pass
            finally:
                line.close()
            sleep(0.3)
        self.lost += 1
        return False

    def run(
        self,
        address: tuple[str, int],
        period: float,
        stopped: Callable[[], bool],
        sleep: Callable[[float], None] = time.sleep,
        **how,
    ) -> None:
        """Report each `period` seconds to an assigner's OTLP address until `stopped()`."""
        begun = time.time_ns()
        while not stopped():
            sleep(period)
            end = time.time_ns()
            figures = self.figures(begun, end)
            begun = end
            if figures:
                self.send(address, figures, sleep, **how)
