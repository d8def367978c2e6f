"""`hollyridge fleet`: who owns which proxies, since when, under which numbers, and where members disagree."""

from __future__ import annotations

import os
import secrets
import sys

import click
import msgspec

from hollyridge.cli.common import ExitCode, fail
from hollyridge.cli.solve import fetch

KEY_BYTES = 32
KEY_MODE = 0o600  # for its owner only


@click.command()
@click.argument("assigners", nargs=-1)
@click.option("--drain", "action", flag_value="drain", help="Have this assigner hand over its proxies, step by step.")
@click.option("--undrain", "action", flag_value="undrain", help="Let it take proxies again.")
@click.option("--new-key", type=click.Path(), help="Write a key for a new fleet to this file, and do nothing else.")
@click.option("--json", "as_json", is_flag=True)
def fleet(assigners: tuple[str, ...], action: str | None, new_key: str | None, as_json: bool) -> None:
    """Show the shared fleet as ASSIGNERS (http://ADDRESS:PORT, their OTLP addresses) see it.

    Exit code 1 if one does not answer, or two say that they own one proxy.
    """
    if new_key:
        _write_key(new_key)
        return
    if not assigners:
        raise click.UsageError("name an assigner at the least, or --new-key")
    views, silent = _ask(assigners, action)
    owned_twice = _owned_twice(views)
    if as_json:
        click.echo(msgspec.json.encode({"assigners": views, "silent": silent, "owned_twice": owned_twice}))
    else:
        _show(views, owned_twice)
    for line in silent:
        click.echo(line, err=True)
    sys.exit(ExitCode.FAILED if silent or owned_twice else ExitCode.FINE)


def _write_key(path: str) -> None:
    """Write a new key to a file that is not there yet."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_MODE)
    except OSError as error:
        fail(f"{path}: {error.strerror}", ExitCode.FAILED)
    with os.fdopen(descriptor, "w") as out:
        out.write(secrets.token_hex(KEY_BYTES) + "\n")


def _ask(assigners: tuple[str, ...], action: str | None) -> tuple[dict[str, dict], list[str]]:
    """What each assigner answers, by its name, after the action; and why others did not."""
    views: dict[str, dict] = {}
    silent: list[str] = []
    for url in assigners:
        try:
            if action:
                fetch(url, f"/peers/{action}", "POST")
            view = msgspec.json.decode(fetch(url, "/peers"))
            views[view["name"]] = view
        except (OSError, ValueError, msgspec.DecodeError) as error:
            silent.append(f"{url}: {error}")
    return views, silent


def _owned_twice(views: dict[str, dict]) -> dict[str, list[str]]:
    """Proxies that more than one assigner says it owns, with their names."""
    owners: dict[str, list[str]] = {}
    for name, view in sorted(views.items()):
        for uid in view["owns"]:
            owners.setdefault(uid, []).append(name)
    return {uid: names for uid, names in owners.items() if len(names) > 1}


def _show(views: dict[str, dict], owned_twice: dict[str, list[str]]) -> None:
    for name, view in sorted(views.items()):
        _show_view(name, view)
    for uid, names in sorted(owned_twice.items()):
        click.echo(f"{uid}: {' and '.join(names)} both say they own it; it obeys the higher number")


def _show_view(name: str, view: dict) -> None:
    click.echo(f"{name} (run {view['run']}) owns {len(view['owns'])}" + (", hands over" if view["drains"] else ""))
    for other, member in view["members"].items():
        click.echo(
            f"  sees {other:<12} {member['status']:<8} incarnation {member['incarnation']:<4} for "
            f"{member['since_s']:.0f} s, says it owns {member['claims']}" + (", drains" if member["drains"] else "")
        )
    for uid, owned in view["owns"].items():
        click.echo(
            f"  {uid:<24} number {owned['fence']:<20} for {owned['since_s']:>8.1f} s, heard "
            f"{owned['heard_s']:.1f} s ago" + (", by a plea" if owned["plea"] else "")
        )
    for uid, one, other in view["disagreements"]:
        click.echo(f"  disagreement: {one} and {other} both say they own {uid}")
