"""What a simulated day costs and where: a sampling profiler that adds up time by part of the program."""

from __future__ import annotations

import resource
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import FrameType

SAMPLE_INTERVAL_S = 0.005
KIB_PER_MIB = 1024
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
# Modules of the laboratory that are reported as `lab/stand-ins`; all others are `lab/checker`.
STAND_IN_MODULES = (
    "clients.py",
    "proxy.py",
    "record.py",
    "sockets.py",
    "streams.py",
    "task.py",
    "task_connection.py",
    "task_model.py",
    "task_server.py",
    "gateways.py",
    "simulated_process.py",
    "simulation.py",
    "virtual.py",
    "virtual_stand_ins.py",
    "world.py",
)


def part_of(frame: FrameType | None) -> str:
    """The part of the program that runs in a frame, or that called the library which does."""
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
    """Samples the thread that made it, from `start` to `stop`.

    Attributes:
        samples: How often each part of the program was seen running.
    """

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.samples: Counter[str] = Counter()
        self.over = threading.Event()
        self.measured_thread = threading.get_ident()
        self.begun_s = time.monotonic()
        self.begun_cpu_s = time.process_time()

    def run(self) -> None:
        """Take samples until `stop`."""
        while not self.over.wait(SAMPLE_INTERVAL_S):
            self.samples[part_of(sys._current_frames().get(self.measured_thread))] += 1

    def stop(self, simulated_s: float) -> dict:
        """Stop; returns seconds, megabytes, and the fraction of the samples in each part, as `--json` has them."""
        self.over.set()
        self.join()
        cpu_s = time.process_time() - self.begun_cpu_s
        total = max(1, sum(self.samples.values()))
        max_rss_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return {
            "simulated_s": simulated_s,
            "wall_s": round(time.monotonic() - self.begun_s, 2),
            "cpu_s": round(cpu_s, 2),
            "cpu_per_s": round(cpu_s / simulated_s, 4),
            "rss_mb": round(max_rss_kib / KIB_PER_MIB, 1),
            "parts": {part: round(count / total, 3) for part, count in self.samples.most_common()},
        }
