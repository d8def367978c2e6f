"""Clients that misbehave against a real assigner process, and measurements of what that does to others."""

import configparser
import contextlib
import http.client
import json
import pickle
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from stand_ins import ROOT, wait_for

from hollyridge.lab.stand_ins.ports import free_ports

SAMPLING_INTERVAL_S = 0.02


def resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class PeakMemory:
    """Sampler of the largest resident memory of a process, in megabytes, until the process ends."""

    def __init__(self, process):
        self.process, self.peak_mb = process, 0.0
        threading.Thread(target=self.sample, daemon=True).start()

    def sample(self):
        while self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.peak_mb = max(self.peak_mb, resident_mb(self.process.pid))
            time.sleep(SAMPLING_INTERVAL_S)


class Flood:
    """A client that sends chunks over and over at full speed until `stop`, in a process of its own.

    Args:
        folder: Folder for the file with the chunks.
        port: Port of the assigner on loopback.
        chunks: Bytes, datagrams or lists of message parts.
        opening: Bytes that a TCP client sends first; for ZeroMQ the type of its socket.
        kind: Protocol: tcp, udp or zmq.
        source: Address that the client sends from.
    """

    def __init__(self, folder, port, chunks, opening=b"", kind="tcp", source="127.0.0.9"):
        path = folder / "flood.pickle"
        path.write_bytes(pickle.dumps((opening, chunks)))
        program = Path(__file__).with_name("flooding_client.py")
        arguments = [kind, "127.0.0.1", str(port), source, str(path)]
        self.process = subprocess.Popen([sys.executable, str(program), *arguments], stderr=subprocess.DEVNULL)

    def stop(self):
        """End the client; fail if it has ended by itself, since nothing was flooded then."""
        assert self.process.poll() is None
        self.process.kill()
        self.process.wait(10)


def send_unfinished(sockets, data):
    """Send the same bytes on all connections at once, and wait until all have taken or refused them."""

    def send(sock):
        with contextlib.suppress(OSError):
            sock.sendall(data)

    threads = [threading.Thread(target=send, args=(sock,), daemon=True) for sock in sockets]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)


class ServeProcess:
    """A running `hollyridge serve` with SASP, pub-sub, load reports and a peer address, on free ports.

    Attributes:
        ports: Port of each protocol by its section in the settings.
    """

    def __init__(self, folder, peers=False):
        ports = iter(range(free_ports(6), 1 << 16))
        self.ports = {"clone": next(ports)}
        self.collector_port = self.ports["clone"] + 2  # the third of the ports of pub-sub
        next(ports), next(ports)
        self.ports |= {"sasp": next(ports), "otlp": next(ports)}
        settings = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=(";",))
        settings.read(ROOT / "examples" / "loopback.ini")
        settings["roster"] = {"settle_s": "0.2"}
        if peers:
            self.ports["peers"] = next(ports)
            (folder / "fleet.key").write_text("ab" * 32)
            settings["peers"] = {"seeds": "127.0.0.1:9", "key": "fleet.key", "zone": "abdali"}
        for section, port in self.ports.items():
            if section not in settings:
                settings[section] = {}
            settings[section]["listen"] = f"127.0.0.1:{port}"
        with (folder / "serve.ini").open("w") as file:
            settings.write(file)
        self.log = (folder / "serve.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(folder / "serve.ini")],
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
        )
        wait_for(self.is_listening, 20)
        self.memory = PeakMemory(self.process)

    def is_listening(self):
        assert self.process.poll() is None
        with contextlib.suppress(OSError):
            for port in (self.ports["otlp"], self.collector_port):
                socket.create_connection(("127.0.0.1", port)).close()
            return True
        return False

    def get_status(self, seconds):
        """Request the status page from another address than the attackers use; fail after this time."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports["otlp"], timeout=seconds, source_address=("127.0.0.3", 0)
        )
        try:
            connection.request("GET", "/status")
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def stop(self):
        self.process.terminate()
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait(10)
        finally:
            self.log.close()
