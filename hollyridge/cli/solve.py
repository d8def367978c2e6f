"""`hollyridge solve`: weights for a described fleet, what binds, what moves."""

from __future__ import annotations

import sys
import time
from http.client import HTTPConnection, HTTPException
from urllib.parse import urlsplit

import click
import msgspec


def asked(url: str, path: str, verb: str = "GET") -> bytes:
    """What an assigner answers at its OTLP address. OSError or ValueError where it tells nothing."""
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname or parts.port is None:
        raise ValueError("http://ADDRESS:PORT is wanted")
    line = HTTPConnection(parts.hostname, parts.port, timeout=5)
    try:
        line.request(verb, path, headers={"Content-Length": "0"} if verb == "POST" else {})
        answer = line.getresponse()
        if answer.status != 200:
            raise ValueError(f"nothing at {path} (status {answer.status})")
        return answer.read(1 << 24)
    except HTTPException as trouble:
        raise ValueError(f"{type(trouble).__name__}: {trouble}") from None
    finally:
        line.close()


def fetch(url: str) -> bytes:
    """What the assigner there knows of its fleet."""
    try:
        return asked(url, "/fleet")
    except ValueError as trouble:
        raise ValueError(f"no description yet, reports of busy tasks must have come ({trouble})") from None


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True)
def solve(file: str, as_json: bool) -> None:
    """Weights within capacity for the fleet that FILE describes: tables by zone, what binds, what one more task would
    do, and what moves against the tables held now. FILE may be http://ADDRESS:PORT, an assigner's OTLP address: then
    what that assigner knows now is taken."""
    from hollyridge.core.solver_service import load_solver_library
    from hollyridge.settings.ini import FaultsError
    from hollyridge.settings.solve import load, read_text
    from hollyridge.solver.fleet import InvalidFleetError
    from hollyridge.solver.linear_program import SolverTimeoutError
    from hollyridge.solver.planner import solve as plan_of

    try:
        fleet, deadline, groups = read_text(fetch(file), file) if file.startswith("http://") else load(file)
        begun = time.monotonic()
        load_solver_library()
        plan = plan_of(fleet, deadline)
        took = time.monotonic() - begun
    except FaultsError as trouble:
        for fault in trouble.faults:
            click.echo(f"{file}: {fault}", err=True)
        sys.exit(2)
    except (OSError, ValueError) as trouble:
        click.echo(f"{file}: {trouble}", err=True)
        sys.exit(1)
    except (InvalidFleetError, SolverTimeoutError) as trouble:
        click.echo(f"{file}: no plan, tables stay as they are: {trouble}", err=True)
        sys.exit(1)
    rows = []
    for z, zone in enumerate(fleet.zones):
        for name, tasks in groups.items():
            listed = [i for i in tasks if i in plan.tables[z]]
            if listed:
                rows.append(
                    {
                        "zone": zone.name,
                        "tasks": name,
                        "lines": len(listed),
                        "weight": round(plan.tables[z][listed[0]], 4),
                        "arrives": round(sum(plan.shares[z][i] for i in listed), 4),
                        "fill": round(max(plan.utilization[i] for i in listed), 4),
                    }
                )
    served = {
        zone.name: {m.name: round(part, 4) for m, part in zip(fleet.methods, row)}
        for zone, row in zip(fleet.zones, plan.served)
    }
    told = {
        "tables": rows,
        "served": served,
        "moves": plan.moves._asdict(),
        "gain": round(plan.gain, 4),
        "why": list(plan.reasons),
        "took_s": round(took, 4),
    }
    if as_json:
        click.echo(msgspec.json.encode(told))
        return
    click.echo(f"{'proxies in':<14}{'tasks':<20}{'lines':>6}{'weight':>9}{'arrives':>9}{'fill':>8}")
    for row in rows:
        click.echo(
            f"{row['zone']:<14}{row['tasks']:<20}{row['lines']:>6}{row['weight']:>9.3f}{row['arrives']:>9.1%}"
            f"{row['fill']:>8.0%}"
        )
    for line in plan.reasons:
        click.echo(line)
    m = plan.moves
    click.echo(
        f"moves: {m.opened} connections opened, {m.closed} closed, {m.lines} lines; handshakes take up to "
        f"{m.handshakes:.0%} of a task's room; gain {plan.gain:.0%}; {took * 1e3:.0f} ms"
    )
