"""`hollyridge fleet`: owners of proxies, their leases and fencing tokens, and disagreements between members."""

from __future__ import annotations

import os
import secrets
import sys

import click
import msgspec

from hollyridge.cli.common import ExitCode, fail
from hollyridge.cli.solve import fetch

KEY_BYTES = 32
KEY_MODE = 0o600  # readable and writable for its owner only


@click.command()
@click.argument("assigners", nargs=-1)
@click.option("--drain", "action", flag_value="drain", help="Hand over the proxies of these assigners, step by step.")
@click.option("--undrain", "action", flag_value="undrain", help="Allow these assigners to own proxies again.")
@click.option("--new-key", type=click.Path(), help="Write a key for a new fleet to this file and exit.")
@click.option("--json", "as_json", is_flag=True)
def fleet(assigners: tuple[str, ...], action: str | None, new_key: str | None, as_json: bool) -> None:
    """Show the view that each of ASSIGNERS has of the shared fleet.

    ASSIGNERS are OTLP addresses in the form http://ADDRESS:PORT. The exit code is 1 if an assigner does not answer or
    if two assigners report that they own the same proxy.
    """
    if new_key:
        _write_key(new_key)
        return
    if not assigners:
        raise click.UsageError("no assigner given, expected at least one ASSIGNERS address or --new-key")
    views, error_lines = _fetch_views(assigners, action)
    owned_twice = _owned_twice(views)
    if as_json:
        click.echo(msgspec.json.encode({"assigners": views, "silent": error_lines, "owned_twice": owned_twice}))
    else:
        _show(views, owned_twice)
    for line in error_lines:
        click.echo(line, err=True)
    sys.exit(ExitCode.FAILED if error_lines or owned_twice else ExitCode.SUCCESS)


def _write_key(path: str) -> None:
    """Write a new key to a file that must not exist yet."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_MODE)
    except OSError as error:
        fail(f"{path}: {error.strerror}", ExitCode.FAILED)
    with os.fdopen(descriptor, "w") as file:
        file.write(secrets.token_hex(KEY_BYTES) + "\n")


def _fetch_views(assigners: tuple[str, ...], action: str | None) -> tuple[dict[str, dict], list[str]]:
    """Run the action on each assigner; return their views by name, and an error line for each that did not answer."""
    views: dict[str, dict] = {}
    error_lines: list[str] = []
    for url in assigners:
        try:
            if action:
                fetch(url, f"/peers/{action}", "POST")
            view = msgspec.json.decode(fetch(url, "/peers"))
            views[view["name"]] = view
        except (OSError, ValueError, msgspec.DecodeError) as error:
            error_lines.append(f"{url}: {error}")
    return views, error_lines


def _owned_twice(views: dict[str, dict]) -> dict[str, list[str]]:
    """Return the names of the owners of each proxy that more than one assigner reports to own."""
    owners: dict[str, list[str]] = {}
    for name, view in sorted(views.items()):
        for uid in view["owns"]:
            owners.setdefault(uid, []).append(name)
    return {uid: names for uid, names in owners.items() if len(names) > 1}


def _show(views: dict[str, dict], owned_twice: dict[str, list[str]]) -> None:
    for name, view in sorted(views.items()):
        _show_view(name, view)
    for uid, names in sorted(owned_twice.items()):
        click.echo(f"{uid}: {' and '.join(names)} both report that they own it; it obeys the higher fencing token")


def _show_view(name: str, view: dict) -> None:
    click.echo(f"{name} (run {view['run']}) owns {len(view['owns'])}" + (", draining" if view["drains"] else ""))
    for other, member in view["members"].items():
        click.echo(
            f"  sees {other:<12} {member['status']:<8} incarnation {member['incarnation']:<4} for "
            f"{member['since_s']:.0f} s, reports {member['claims']} owned" + (", draining" if member["drains"] else "")
        )
    for uid, owned in view["owns"].items():
        click.echo(
            f"  {uid:<24} token {owned['fence']:<20} for {owned['since_s']:>8.1f} s, renewed "
            f"{owned['heard_s']:.1f} s ago" + (", by a fallback request" if owned["plea"] else "")
        )
    for uid, first_owner, second_owner in view["disagreements"]:
        click.echo(f"  disagreement: {first_owner} and {second_owner} both report that they own {uid}")
