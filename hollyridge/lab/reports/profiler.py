"""Sampling profiler for the CPU time and memory of a simulated day, with the share of each part of the program."""

from __future__ import annotations

import resource
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from types import FrameType

ROOT = Path(__file__).resolve().parents[2]

# The keys of `parts` in `lab run --cost --json` and `lab sweep --json` are a format. Package names are mapped to the
# keys of older results, so that their readers continue to work.
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


SAMPLING_INTERVAL_S = 0.005  # fine enough for a day of a few seconds, and coarse enough not to add to its cost


def part_of(frame: FrameType | None) -> str:
    """Return the name of the part of the program that a stack belongs to.

    Args:
        frame: The innermost frame; frames of libraries are skipped, so that their caller counts.

    Returns:
        The reported name of the package or top-level module, "elsewhere" if no frame is in this project.
    """
    while frame is not None:
        try:
            path_parts = Path(frame.f_code.co_filename).relative_to(ROOT).parts
        except ValueError:
            frame = frame.f_back
            continue
        if path_parts[0] == "lab":
            return "lab/stand-ins" if path_parts[-1] in STAND_IN_MODULES else "lab/checker"
        package = path_parts[0].removesuffix(".py")
        return REPORTED_MODULES.get("/".join(path_parts)) or REPORTED_PACKAGES.get(package, package)
    return "elsewhere"


class SamplingProfiler(threading.Thread):
    """Thread that samples the stack of the thread that creates it, from `start` to `stop`.

    Attributes:
        samples: Number of samples taken so far, by part of the program.
    """

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.samples: Counter[str] = Counter()
        self.stopped = threading.Event()
        self.measured_thread = threading.get_ident()
        self.started_s = time.monotonic()
        self.started_cpu_s = time.process_time()

    def run(self) -> None:
        """Take samples until `stop`."""
        while not self.stopped.wait(SAMPLING_INTERVAL_S):
            self.samples[part_of(sys._current_frames().get(self.measured_thread))] += 1

    def stop(self, simulated_s: float) -> dict:
        """Stop sampling and return the result.

        Args:
            simulated_s: Length of the simulated day that was measured, in seconds.

        Returns:
            Simulated, real and CPU seconds, CPU seconds per simulated second, peak memory in megabytes, and the share
            of samples by part of the program.
        """
        self.stopped.set()
        self.join()
        cpu_s = time.process_time() - self.started_cpu_s
        total = max(1, sum(self.samples.values()))
        return {
            "simulated_s": simulated_s,
            "wall_s": round(time.monotonic() - self.started_s, 2),
            "cpu_s": round(cpu_s, 2),
            "cpu_per_s": round(cpu_s / simulated_s, 4),
            "rss_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
            "parts": {part: round(count / total, 3) for part, count in self.samples.most_common()},
        }
