"""A real assigner in a process of its own, for floods of load reports."""

from __future__ import annotations

import configparser
import http.client
import sys
from pathlib import Path

import gevent
import msgspec
from gevent import socket, subprocess

from hollyridge.lab.stand_ins.ports import free_port

START_ATTEMPTS, START_PAUSE_S = 200, 0.05
END_TIMEOUT_S = 10
HTTP_TIMEOUT_S = 10
KIB_PER_MIB = 1024


class FloodAssigner:
    """`hollyridge serve` with a limit on the points it reads.

    Attributes:
        sasp: The port of its SASP server; `otlp` is that of its reports.
        zones: The second octet of each zone's addresses.
        methods: In the settings' order.
    """

    def __init__(self, folder: Path, settings: Path, name: str, points_per_s: float) -> None:
        """Start it and wait until it listens; OSError if it ends."""
        self.sasp, self.otlp = free_port(), free_port()
        parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
        parser.read(settings)
        parser["sasp"]["listen"] = f"127.0.0.1:{self.sasp}"
        parser["otlp"]["listen"] = f"127.0.0.1:{self.otlp}"
        parser["otlp"]["points_per_s"] = str(points_per_s)
        self.zones = {zone: networks.split(".")[1] for zone, networks in parser["zones"].items()}
        self.methods = [section.partition(" ")[2] for section in parser.sections() if section.startswith("method ")]
        path = folder / f"{name}.ini"
        with open(path, "w") as out:
            parser.write(out)
        with open(folder / f"{name}.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=log
            )
        self._wait_until_listening()

    def _wait_until_listening(self) -> None:
        for _ in range(START_ATTEMPTS):
            if self.process.poll() is not None:
                raise OSError(f"the assigner ended with {self.process.returncode}")
            try:
                socket.create_connection(("127.0.0.1", self.otlp), timeout=1).close()
                break
            except OSError:
                gevent.sleep(START_PAUSE_S)

    def connect(self, source: str) -> http.client.HTTPConnection:
        """A connection for reports from this address."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.otlp, timeout=HTTP_TIMEOUT_S, source_address=(source, 0)
        )
        connection._create_connection = socket.create_connection  # gevent's
        return connection

    def status(self) -> dict:
        """Its status page."""
        connection = self.connect("127.0.0.1")
        connection.request("GET", "/status")
        try:
            return msgspec.json.decode(connection.getresponse().read())
        finally:
            connection.close()

    def rss_mb(self) -> float:
        """Its memory; 0 if that is not known."""
        for row in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if row.startswith("VmRSS"):
                return int(row.split()[1]) / KIB_PER_MIB
        return 0.0

    def stop(self) -> None:
        """Stop it, and kill it if it does not."""
        self.process.terminate()
        try:
            self.process.wait(timeout=END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
