"""`hollyridge solve`: weights for a described fleet, the limits of the plan, and its changes to current tables."""

from __future__ import annotations

import sys
import time
from http.client import HTTPConnection, HTTPException
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

import click
import msgspec

from hollyridge.cli.common import ExitCode, fail, print_problems

if TYPE_CHECKING:
    from hollyridge.solver.fleet import Fleet
    from hollyridge.solver.planner import Plan

TIMEOUT_S = 5  # of a request to an assigner
MAX_RESPONSE_BYTES = 1 << 24
HTTP_OK = 200


def fetch(url: str, path: str, method: str = "GET") -> bytes:
    """Return the response of an assigner to a request at its OTLP address.

    Raises:
        OSError: The assigner cannot be reached.
        ValueError: The response is not OK or not HTTP, or `url` has another form than http://ADDRESS:PORT.
    """
    parts = urlsplit(url)
    if parts.scheme != "http" or not parts.hostname or parts.port is None:
        raise ValueError("the address is invalid, expected http://ADDRESS:PORT")
    connection = HTTPConnection(parts.hostname, parts.port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, headers={"Content-Length": "0"} if method == "POST" else {})
        response = connection.getresponse()
        status, body = response.status, response.read(MAX_RESPONSE_BYTES) if response.status == HTTP_OK else b""
    except HTTPException as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None
    finally:
        connection.close()
    if status != HTTP_OK:
        raise ValueError(f"{path}: HTTP status {status}, expected {HTTP_OK}")
    return body


def _fetch_fleet(url: str) -> bytes:
    """Return the description that an assigner gives of its fleet."""
    try:
        return fetch(url, "/fleet")
    except ValueError as error:
        raise ValueError(f"no description yet, reports of busy tasks must arrive first ({error})") from None


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True)
def solve(file: str, as_json: bool) -> None:
    """Plan weights within capacity for the fleet that FILE describes.

    Shows the tables by zone, the limits of the plan, the effect of one more task, and the changes to the current
    tables. FILE may also be an assigner's OTLP address in the form http://ADDRESS:PORT; the fleet is then described by
    that assigner.
    """
    fleet, plan, groups, took_s = _plan(file)
    rows = _table_rows(fleet, plan, groups)
    if as_json:
        click.echo(msgspec.json.encode(_result(fleet, plan, rows, took_s)))
    else:
        _show(plan, rows, took_s)


def _plan(file: str) -> tuple[Fleet, Plan, dict[str, list[int]], float]:
    """Return the fleet, its plan, its tasks by group and the duration in seconds; exit if there is no plan."""
    from hollyridge.core.solver_service import load_solver_library
    from hollyridge.settings.fleet_file import load, read_text
    from hollyridge.settings.ini import FaultsError
    from hollyridge.solver.fleet import InvalidFleetError
    from hollyridge.solver.linear_program import SolverTimeoutError
    from hollyridge.solver.planner import solve as plan_of

    try:
        if file.startswith("http://"):
            fleet, deadline_s, groups = read_text(_fetch_fleet(file), file)
        else:
            fleet, deadline_s, groups = load(file)
        started = time.monotonic()
        load_solver_library()
        plan = plan_of(fleet, deadline_s)
        return fleet, plan, groups, time.monotonic() - started
    except FaultsError as error:
        print_problems(file, error)
        sys.exit(ExitCode.BAD_INPUT)
    except (OSError, ValueError) as error:
        fail(f"{file}: {error}", ExitCode.FAILED)
    except (InvalidFleetError, SolverTimeoutError) as error:
        fail(f"{file}: no plan, the current tables are kept: {error}", ExitCode.FAILED)


def _table_rows(fleet: Fleet, plan: Plan, groups: dict[str, list[int]]) -> list[dict]:
    """Return a row for each zone and each group of tasks that its table lists."""
    rows = []
    for number, zone in enumerate(fleet.zones):
        table, shares = plan.tables[number], plan.shares[number]
        for name, tasks in groups.items():
            listed = [task for task in tasks if task in table]
            if listed:
                rows.append(
                    {
                        "zone": zone.name,
                        "tasks": name,
                        "lines": len(listed),
                        "weight": round(table[listed[0]], 4),
                        "arrives": round(sum(shares[task] for task in listed), 4),
                        "fill": round(max(plan.utilization[task] for task in listed), 4),
                    }
                )
    return rows


def _result(fleet: Fleet, plan: Plan, rows: list[dict], took_s: float) -> dict:
    """Return the result as `--json` prints it."""
    served = {
        zone.name: {method.name: round(fraction, 4) for method, fraction in zip(fleet.methods, fractions)}
        for zone, fractions in zip(fleet.zones, plan.served)
    }
    return {
        "tables": rows,
        "served": served,
        "moves": plan.moves._asdict(),
        "gain": round(plan.gain, 4),
        "why": list(plan.reasons),
        "took_s": round(took_s, 4),
    }


def _show(plan: Plan, rows: list[dict], took_s: float) -> None:
    click.echo(f"{'proxies in':<14}{'tasks':<20}{'lines':>6}{'weight':>9}{'arrives':>9}{'fill':>8}")
    for row in rows:
        click.echo(
            f"{row['zone']:<14}{row['tasks']:<20}{row['lines']:>6}{row['weight']:>9.3f}{row['arrives']:>9.1%}"
            f"{row['fill']:>8.0%}"
        )
    for reason in plan.reasons:
        click.echo(reason)
    moves = plan.moves
    click.echo(
        f"moves: {moves.opened} connections opened, {moves.closed} closed, {moves.lines} lines changed; "
        f"handshakes use up to {moves.handshakes:.0%} of a task's capacity; gain {plan.gain:.0%}; {took_s * 1e3:.0f} ms"
    )
