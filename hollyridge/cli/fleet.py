"""`hollyridge fleet`: who owns which proxies, since when, under which numbers, and where members disagree."""

from __future__ import annotations

import os
import secrets
import sys

import click
import msgspec

from hollyridge.cli.solve import asked


@click.command()
@click.argument("assigners", nargs=-1)
@click.option("--drain", "deed", flag_value="drain", help="Have this assigner hand over its proxies, step by step.")
@click.option("--undrain", "deed", flag_value="undrain", help="Let it take proxies again.")
@click.option("--new-key", type=click.Path(), help="Write a key for a new fleet to this file, and do nothing else.")
@click.option("--json", "as_json", is_flag=True)
def fleet(assigners: tuple[str, ...], deed: str | None, new_key: str | None, as_json: bool) -> None:
    """Show the shared fleet as ASSIGNERS (http://ADDRESS:PORT, their OTLP addresses) see it. Exit code 1 if one does
    not answer, or two say that they own one proxy."""
    if new_key:
        try:
            descriptor = os.open(new_key, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        except OSError as trouble:
            click.echo(f"{new_key}: {trouble.strerror}", err=True)
            sys.exit(1)
        with os.fdopen(descriptor, "w") as out:
            out.write(secrets.token_hex(32) + "\n")
        return
    if not assigners:
        raise click.UsageError("name an assigner at the least, or --new-key")
    seen, silent = {}, []
    for url in assigners:
        try:
            if deed:
                asked(url, f"/peers/{deed}", "POST")
            told = msgspec.json.decode(asked(url, "/peers"))
            seen[told["name"]] = told
        except (OSError, ValueError, msgspec.DecodeError) as trouble:
            silent.append(f"{url}: {trouble}")
    owners: dict[str, list[str]] = {}
    for name, told in sorted(seen.items()):
        for uid in told["owns"]:
            owners.setdefault(uid, []).append(name)
    twice = {uid: names for uid, names in owners.items() if len(names) > 1}
    if as_json:
        click.echo(msgspec.json.encode({"assigners": seen, "silent": silent, "owned_twice": twice}))
    else:
        show(seen, twice)
    for line in silent:
        click.echo(line, err=True)
    sys.exit(1 if silent or twice else 0)


def show(seen: dict[str, dict], twice: dict[str, list[str]]) -> None:
    for name, told in sorted(seen.items()):
        click.echo(f"{name} (run {told['run']}) owns {len(told['owns'])}" + (", hands over" if told["drains"] else ""))
        for other, row in told["members"].items():
            click.echo(
                f"  sees {other:<12} {row['status']:<8} incarnation {row['incarnation']:<4} for "
                f"{row['since_s']:.0f} s, says it owns {row['claims']}" + (", drains" if row["drains"] else "")
            )
        for uid, row in told["owns"].items():
            click.echo(
                f"  {uid:<24} number {row['fence']:<20} for {row['since_s']:>8.1f} s, heard "
                f"{row['heard_s']:.1f} s ago" + (", by a plea" if row["plea"] else "")
            )
        for uid, one, another in told["disagreements"]:
            click.echo(f"  disagreement: {one} and {another} both say they own {uid}")
    for uid, names in sorted(twice.items()):
        click.echo(f"{uid}: {' and '.join(names)} both say they own it; it obeys the higher number")
