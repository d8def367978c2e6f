"""Assigner that a benchmark measures: its settings, its process, and its use of resources."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import click
import msgspec

from hollyridge.lab.stand_ins.ports import free_port
from hollyridge.sasp.codec import Member
from hollyridge.settings.assigner import load

EXAMPLE = Path(__file__).parent.parent / "examples" / "loopback.ini"
METHODS = ("read-chapter", "unlock-chapter", "redeem-code")  # as in the example
ZONES = ("abdali", "khalda", "sahab")
TASK_PORT = 9000
CONNECTS_PER_S = 4000  # high enough that the limit on new connections does not affect the measurement
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Ports(NamedTuple):
    """Ports of the assigner on loopback."""

    sasp: int
    otlp: int


class Usage(NamedTuple):
    """Resource use of a process: CPU time so far in seconds, and resident memory in megabytes."""

    cpu_s: float
    rss_mb: float


class Service(NamedTuple):
    """Process ID and ports of a running assigner."""

    pid: int
    ports: Ports


def usage_of(pid: int) -> Usage:
    """Return the resource use of a process, from the kernel."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return Usage((int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * PAGE_BYTES / 1e6)


def settings_text(ports: Ports, lines_per_s: float) -> str:
    """Return the example's settings with other ports and another limit of lines per second."""
    text = EXAMPLE.read_text().replace(":3860", f":{ports.sasp}").replace(":4318", f":{ports.otlp}")
    text = text.replace("lines_per_s = 3000", f"lines_per_s = {lines_per_s}")
    text = text.replace("most_waiting = 6000", f"most_waiting = {2 * lines_per_s}")
    return text.replace("fleet = shelf", f"fleet = shelf\nconnects_per_s = {CONNECTS_PER_S}")


@contextmanager
def running_service(lines_per_s: float, more_settings: str = "") -> Iterator[Service]:
    """Start an assigner and stop it at the end of the block; it may not listen yet when the block starts.

    Args:
        lines_per_s: Maximum rate of its updates, in lines per second.
        more_settings: Text that is appended to its settings.

    Raises:
        FaultsError: The settings are invalid; the error output of the process itself is discarded.
    """
    with tempfile.TemporaryDirectory() as folder:
        ports = Ports(free_port(), free_port())
        path = Path(folder) / "a.ini"
        path.write_text(settings_text(ports, lines_per_s) + more_settings)
        load(path)
        process = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=subprocess.DEVNULL
        )
        try:
            yield Service(process.pid, ports)
        finally:
            process.terminate()
            process.wait()


def members(count: int) -> list[Member]:
    """Return ready tasks, spread evenly over the zones."""
    return [
        Member.at(f"127.{1 + number % 3}.0.{1 + number // 3}", TASK_PORT, "run=a up=100") for number in range(count)
    ]


def name_of(member: Member) -> str:
    """Return the name of a task in tables and reports."""
    return f"{member.host}:{member.port}"


def print_result(result: dict, as_json: bool) -> None:
    """Print a benchmark's figures, one per line or as JSON."""
    click.echo(
        msgspec.json.encode(result) if as_json else "\n".join(f"{key}: {value}" for key, value in result.items())
    )
