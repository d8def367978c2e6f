"""`hollyridge`: serve, check, day. Exit codes: 0 fine, 1 a rule was broken, 2 faulty settings or words, 3 an
address is taken, 4 the decision module gave up."""

from __future__ import annotations

import signal
import sys

import click

from hollyridge.cli.fleet import fleet
from hollyridge.cli.lab import lab
from hollyridge.cli.solve import solve
from hollyridge.core import logs
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError

FAULTY, TAKEN, GAVE_UP = 2, 3, 4


def load(path: str) -> assigner.ServiceConfig:
    try:
        return assigner.load(path)
    except FaultsError as trouble:
        for fault in trouble.faults:
            click.echo(f"{path}: {fault}", err=True)
        sys.exit(FAULTY)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="hollyridge")
def main() -> None:
    """A control service that publishes weights to plain proxies."""


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check the settings in FILE; names every fault by section and key."""
    terms = load(file)
    click.echo(
        f"{file}: fine; {len(terms.methods)} methods in {len(terms.groups())} groups, "
        f"{len(terms.zones)} zones, {len(terms.groups())} entries to a proxy for each line"
    )


@main.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run an assigner with the settings in FILE until SIGTERM or SIGINT."""
    run(load(file), file)


def run(terms: assigner.ServiceConfig, path: str, make=None) -> None:
    import gevent

    from hollyridge.core.engine import DecisionModuleError
    from hollyridge.decisions.assigner import Assigner
    from hollyridge.service import Service

    log = logs.start(terms.log.format, terms.log.level, assigner=terms.assigner.name)
    try:
        service = Service(terms, log, make or Assigner)
        service.start()
    except ValueError as trouble:
        log.error("faulty keys", error=str(trouble))
        sys.exit(FAULTY)
    except OSError as trouble:
        log.error("cannot start", error=str(trouble))
        sys.exit(TAKEN)

    def reload() -> None:
        try:
            service.reload(assigner.load(path))
        except (FaultsError, OSError, ValueError) as trouble:
            log.error("keys not read again; what was in force stays", error=str(trouble))

    gevent.signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, service.stop)
    try:
        service.run()
    except DecisionModuleError as trouble:
        log.error("gave up", error=str(trouble))
        service.stop()
        sys.exit(GAVE_UP)
    log.info("stopped", **service.status())


@main.command()
@click.argument("script", type=click.Path())
@click.option("--report", type=click.Path(file_okay=False), help="Keep recordings here, with a page.")
@click.option("--seed", type=int, help="Instead of the script's own.")
@click.option("--policy", default="", help="Another decision module of the laboratory, to compare with.")
@click.option("--fronts", default="", help="In place of the script's: sasp, clone, or both: sasp,clone.")
@click.option("--json", "as_json", is_flag=True, help="Print verdicts and figures as one JSON object.")
def day(script: str, report: str | None, seed: int | None, policy: str, fronts: str, as_json: bool) -> None:
    """Play the day in SCRIPT against a real assigner process on loopback, and check the five rules from what
    passed on the sockets. Exit code 0 only if all were kept."""
    from gevent import monkey

    monkey.patch_all()
    from hollyridge.cli.day import play

    sys.exit(play(script, report, seed, policy, as_json, fronts))


main.add_command(lab)
main.add_command(solve)
main.add_command(fleet)


if __name__ == "__main__":
    main()
