"""How fast proxies join: many SASP load balancers dial one assigner at once; until when does each hold a table?

.venv/bin/python benchmarks/joins.py --proxies 130 --tasks 114 [--json]
"""

from __future__ import annotations

import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
import gevent
import msgspec
from gevent import socket

from hollyridge.lab.stand_ins.ports import free_port
from hollyridge.sasp.client import LoadBalancerClient, MemberRegistrar
from hollyridge.sasp.codec import Member
from hollyridge.settings.assigner import load

EXAMPLE = Path(__file__).parent.parent / "examples" / "loopback.ini"


def settings(folder: Path, ports: tuple[int, int], lines_per_s: float) -> Path:
    text = EXAMPLE.read_text().replace(":3860", f":{ports[0]}").replace(":4318", f":{ports[1]}")
    text = text.replace("lines_per_s = 3000", f"lines_per_s = {lines_per_s}")
    text = text.replace("most_waiting = 6000", f"most_waiting = {2 * lines_per_s}")
    path = folder / "a.ini"
    path.write_text(
        text + "connects_per_s = 4000\n"
        if "connects_per_s" in text
        else text.replace("fleet = shelf", "fleet = shelf\nconnects_per_s = 4000")
    )
    return path


@click.command()
@click.option("--proxies", default=130)
@click.option("--tasks", default=114)
@click.option("--lines-per-s", default=3000.0)
@click.option("--json", "as_json", is_flag=True)
def main(proxies: int, tasks: int, lines_per_s: float, as_json: bool) -> None:
    with tempfile.TemporaryDirectory() as folder:
        ports = free_port(), free_port()
        path = settings(Path(folder), ports, lines_per_s)
        load(path)
        service = subprocess.Popen(
            [sys.executable, "-m", "hollyridge.cli.main", "serve", str(path)], stderr=subprocess.DEVNULL
        )
        try:
            gevent.sleep(1.5)
            agent = MemberRegistrar(("127.0.0.1", ports[0]), "shelf", connect=socket.create_connection)
            agent.register([Member.at(f"127.{1 + k % 3}.0.{1 + k // 3}", 9000, "run=a up=100") for k in range(tasks)])
            gevent.sleep(1)
            held, bytes_in = [], [0]
            begun = time.monotonic()

            def join(k: int) -> None:
                def heard(raw: bytes) -> None:
                    bytes_in[0] += len(raw)

                gw = LoadBalancerClient(
                    ("127.0.0.1", ports[0]),
                    f"gw-{k}",
                    source=f"127.{1 + k % 3}.9.{1 + k // 3}",
                    timeout=60,
                    connect=socket.create_connection,
                    heard=heard,
                )
                gw.start(("read-chapter", "unlock-chapter", "redeem-code"))
                pushed = gw.receive(60)
                held.append((time.monotonic() - begun, sum(len(g.weights) for g in pushed[1].groups)))
                gw.receive(2)

            gevent.joinall([gevent.spawn(join, k) for k in range(proxies)])
        finally:
            service.terminate()
            service.wait()
        usage = resource.getrusage(resource.RUSAGE_CHILDREN)
        times = sorted(at for at, _ in held)
        result = dict(
            proxies=proxies,
            tasks=tasks,
            lines_per_s=lines_per_s,
            first_s=round(times[0], 3),
            median_s=round(times[len(times) // 2], 3),
            last_s=round(times[-1], 3),
            lines=sum(lines for _, lines in held),
            bytes=bytes_in[0],
            joins_per_s=round(len(times) / times[-1], 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            rss_mb=round(usage.ru_maxrss / 1024, 1),
        )
        click.echo(msgspec.json.encode(result) if as_json else "\n".join(f"{k}: {v}" for k, v in result.items()))


if __name__ == "__main__":
    main()
