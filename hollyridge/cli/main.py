"""`hollyridge`: serve, check, day, and the groups of other commands.

Exit codes: 0 fine, 1 a rule was broken, 2 faulty settings or words, 3 an address is taken, 4 the decision module gave
up.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import click

from hollyridge.cli.common import ExitCode, print_problems
from hollyridge.cli.fleet import fleet
from hollyridge.cli.lab import lab
from hollyridge.cli.solve import solve
from hollyridge.core import logs
from hollyridge.settings import assigner
from hollyridge.settings.ini import FaultsError

if TYPE_CHECKING:
    import structlog

    from hollyridge.service import Service


def load(path: str) -> assigner.ServiceConfig:
    """The settings in a file; prints what is wrong with them and exits otherwise."""
    try:
        return assigner.load(path)
    except FaultsError as error:
        print_problems(path, error)
        sys.exit(ExitCode.BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="hollyridge")
def main() -> None:
    """A control service that publishes weights to plain proxies."""


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check the settings in FILE; names every fault by section and key."""
    config = load(file)
    groups = len(config.groups())
    click.echo(
        f"{file}: fine; {len(config.methods)} methods in {groups} groups, "
        f"{len(config.zones)} zones, {groups} entries to a proxy for each line"
    )


@main.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run an assigner with the settings in FILE until SIGTERM or SIGINT."""
    run(load(file), file)


def run(config: assigner.ServiceConfig, path: str, decision_module: Callable | None = None) -> None:
    """Run an assigner until it is stopped by a signal; exits with a code of `ExitCode` where it can't.

    Args:
        config: The settings that were read from `path`, which SIGHUP reads again.
        path: The settings file.
        decision_module: In place of the service's own.
    """
    from hollyridge.core.engine import DecisionModuleError
    from hollyridge.decisions.assigner import Assigner

    log = logs.start(config.log.format, config.log.level, assigner=config.assigner.name)
    service = _start(config, log, decision_module or Assigner)
    _handle_signals(service, path, log)
    try:
        service.run()
    except DecisionModuleError as error:
        log.error("decision_module_failed", error=str(error))  # noqa: TRY400 - the error says all, without a trace
        service.stop()
        sys.exit(ExitCode.DECISION_MODULE_FAILED)
    log.info("service_stopped", **service.status())


def _start(config: assigner.ServiceConfig, log: structlog.BoundLogger, decision_module: Callable) -> Service:
    from hollyridge.service import Service

    try:
        service = Service(config, log, decision_module)
        service.start()
    except ValueError as error:
        log.error("keys_rejected", error=str(error))  # noqa: TRY400 - the error says all, without a trace
        sys.exit(ExitCode.BAD_INPUT)
    except OSError as error:
        log.error("service_start_failed", error=str(error))  # noqa: TRY400 - the error says all, without a trace
        sys.exit(ExitCode.ADDRESS_TAKEN)
    return service


def _handle_signals(service: Service, path: str, log: structlog.BoundLogger) -> None:
    """Read the settings again at SIGHUP, stop at SIGTERM and SIGINT."""
    import gevent

    def reload() -> None:
        try:
            service.reload(assigner.load(path))
        except (FaultsError, OSError, ValueError) as error:  # what was in force stays
            log.error("configuration_reload_failed", error=str(error))  # noqa: TRY400 - the error says all

    gevent.signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, service.stop)


@main.command()
@click.argument("script", type=click.Path())
@click.option("--report", type=click.Path(file_okay=False), help="Keep recordings here, with a page.")
@click.option("--seed", type=int, help="Instead of the script's own.")
@click.option("--policy", default="", help="Another decision module of the laboratory, to compare with.")
@click.option("--fronts", default="", help="In place of the script's: sasp, clone, or both: sasp,clone.")
@click.option("--json", "as_json", is_flag=True, help="Print verdicts and figures as one JSON object.")
def day(  # noqa: PLR0913, PLR0917 - click passes each option
    script: str, report: str | None, seed: int | None, policy: str, fronts: str, as_json: bool
) -> None:
    """Play the day in SCRIPT against a real assigner process on loopback.

    Checks the five rules from what passed on the sockets. Exit code 0 only if all were kept.
    """
    from gevent import monkey

    monkey.patch_all()
    from hollyridge.cli.day import LiveOptions, play

    sys.exit(play(LiveOptions(script, report, seed, policy, fronts, as_json)))


main.add_command(lab)
main.add_command(solve)
main.add_command(fleet)


if __name__ == "__main__":
    main()
