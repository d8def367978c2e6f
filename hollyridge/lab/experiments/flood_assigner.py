"""Assigner process that a report flood is sent to."""

from __future__ import annotations

import configparser
import http.client
import sys
from pathlib import Path

import gevent
import msgspec
from gevent import socket, subprocess

from hollyridge.lab.experiments.errors import AssignerStartError
from hollyridge.lab.stand_ins.ports import free_port

SETTINGS = Path(__file__).resolve().parents[3] / "examples" / "loopback.ini"
START_PROBES = 200
START_PROBE_INTERVAL_S = 0.05  # with START_PROBES: ten seconds, several times the duration of a start
REQUEST_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0  # after which the process is killed


class Assigner:
    """Process of `hollyridge serve` on loopback with free ports and a given report budget.

    Attributes:
        sasp: Port of the SASP server.
        otlp: Port of the report intake and the status page.
        zones: Second octet of each zone's addresses, by zone.
        methods: Names of the methods.
    """

    def __init__(self, folder: Path, name: str, points_per_s: float) -> None:
        """Start the process and wait until it listens.

        Args:
            folder: Folder for the settings file and the log.
            name: Name of both files.
            points_per_s: Budget of report data points per second.

        Raises:
            AssignerStartError: If the process ends before it listens.
        """
        self.sasp = free_port()
        self.otlp = free_port()
        parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
        parser.read(SETTINGS)
        parser["sasp"]["listen"] = f"127.0.0.1:{self.sasp}"
        parser["otlp"]["listen"] = f"127.0.0.1:{self.otlp}"
        parser["otlp"]["points_per_s"] = str(points_per_s)
        self.zones = {zone: networks.split(".")[1] for zone, networks in parser["zones"].items()}
        self.methods = [section.partition(" ")[2] for section in parser.sections() if section.startswith("method ")]
        path = folder / f"{name}.ini"
        with open(path, "w") as file:
            parser.write(file)
        with open(folder / f"{name}.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=log
            )
        self.wait_until_listening()

    def wait_until_listening(self) -> None:
        """Probe the intake's port until it accepts connections or the probes are used up.

        Raises:
            AssignerStartError: If the process has ended.
        """
        for _ in range(START_PROBES):
            if self.process.poll() is not None:
                raise AssignerStartError(
                    f"the assigner ended with exit code {self.process.returncode} before it listened"
                )
            try:
                socket.create_connection(("127.0.0.1", self.otlp), timeout=1).close()
            except OSError:
                gevent.sleep(START_PROBE_INTERVAL_S)
            else:
                return

    def connection(self, source: str) -> http.client.HTTPConnection:
        """Return an HTTP connection to the intake from a source address; the first request opens it."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.otlp, timeout=REQUEST_TIMEOUT_S, source_address=(source, 0)
        )
        connection._create_connection = socket.create_connection  # of gevent, which lets other greenlets run
        return connection

    def status(self) -> dict:
        """Return the contents of the status page."""
        connection = self.connection("127.0.0.1")
        connection.request("GET", "/status")
        try:
            return msgspec.json.decode(connection.getresponse().read())
        finally:
            connection.close()

    def rss_mb(self) -> float:
        """Return the resident memory of the process in megabytes; 0 if it has ended."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """Terminate the process; kill it if it does not end in time."""
        self.process.terminate()
        try:
            self.process.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
