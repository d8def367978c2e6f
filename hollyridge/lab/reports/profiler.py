"""What a simulated day costs and where: time by part of the program, by looking at the running frame every so often."""

from __future__ import annotations

import resource
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import FrameType

ROOT = Path(__file__).resolve().parents[2]

# Keys of `parts` in `lab run --cost --json` and `lab sweep --json`. They are a format: what packages are called today
# is turned into the names that readers of older results know.
REPORTED_PACKAGES = {
    "chp": "clone",
    "decisions": "rules",
    "delivery": "steering",
    "discovery": "roster",
    "limits": "steering",
    "platform_settings": "benchlink",
    "registration": "steering",
    "sessions": "steering",
    "solver": "solving",
    "telemetry": "steering",
}
REPORTED_MODULES = {
    "limits/fair_share.py": "trust",
    "sasp/weight_advice.py": "steering",
    "store/learned_estimates.py": "steering",
}
STAND_IN_MODULES = (
    "proxy.py",
    "record.py",
    "sockets.py",
    "streams.py",
    "task.py",
    "task_model.py",
    "gateways.py",
    "simulated_process.py",
    "simulation.py",
    "virtual.py",
    "virtual_stand_ins.py",
    "world.py",
)


def part_of(frame: FrameType | None) -> str:
    """The part of the program whose code runs, or runs a library: its package, or its module at the top."""
    while frame is not None:
        try:
            steps = Path(frame.f_code.co_filename).relative_to(ROOT).parts
        except ValueError:
            frame = frame.f_back
            continue
        if steps[0] == "lab":
            return "lab/stand-ins" if steps[-1] in STAND_IN_MODULES else "lab/checker"
        package = steps[0].removesuffix(".py")
        return REPORTED_MODULES.get("/".join(steps)) or REPORTED_PACKAGES.get(package, package)
    return "elsewhere"


class Meter(threading.Thread):
    """Measures from `start` to `stop`."""

    EVERY = 0.005  # s

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.seen: Counter[str] = Counter()
        self.over = threading.Event()
        self.whose = threading.get_ident()
        self.begun, self.cpu = time.monotonic(), time.process_time()

    def run(self) -> None:
        while not self.over.wait(self.EVERY):
            self.seen[part_of(sys._current_frames().get(self.whose))] += 1

    def stop(self, simulated_s: float) -> dict:
        """Seconds, megabytes, and the part of the samples by part of the program."""
        self.over.set()
        self.join()
        cpu, whole = time.process_time() - self.cpu, max(1, sum(self.seen.values()))
        return {
            "simulated_s": simulated_s,
            "wall_s": round(time.monotonic() - self.begun, 2),
            "cpu_s": round(cpu, 2),
            "cpu_per_s": round(cpu / simulated_s, 4),
            "rss_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
            "parts": {part: round(count / whole, 3) for part, count in self.seen.most_common()},
        }
