"""Entry point of `hollyridge`: the commands serve, check and day, to which the other commands are added.

Exit codes: 0 success, 1 a rule was broken or the requested result is not available, 2 invalid settings or arguments,
3 an address is in use, 4 the decision module failed.
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
    """Load settings from a file; if they are invalid, print their faults and exit."""
    try:
        return assigner.load(path)
    except FaultsError as error:
        print_problems(path, error)
        sys.exit(ExitCode.BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="hollyridge")
def main() -> None:
    """Run and test a control service that publishes weights to plain proxies."""


@main.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check the settings in FILE and print every fault with its section and key."""
    config = load(file)
    groups = len(config.groups())
    click.echo(
        f"{file}: valid; {len(config.methods)} methods in {groups} groups, "
        f"{len(config.zones)} zones, {groups} entries per line for each proxy"
    )


@main.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run an assigner with the settings in FILE until SIGTERM or SIGINT."""
    run(load(file), file)


def run(config: assigner.ServiceConfig, path: str, decision_module: Callable | None = None) -> None:
    """Run an assigner until a signal stops it; on failure, exit with a code of `ExitCode`.

    Args:
        config: Settings that were read from `path`.
        path: Settings file, which is read again at SIGHUP.
        decision_module: Decision module that replaces the service's own.
    """
    from hollyridge.core.engine import DecisionModuleError
    from hollyridge.decisions.assigner import Assigner

    log = logs.start(config.log.format, config.log.level, assigner=config.assigner.name)
    service = _start(config, log, decision_module or Assigner)
    _handle_signals(service, path, log)
    try:
        service.run()
    except DecisionModuleError as error:
        log.error("decision_module_failed", error=str(error))  # noqa: TRY400 - the message is complete without a traceback
        service.stop()
        sys.exit(ExitCode.DECISION_MODULE_FAILED)
    log.info("service_stopped", **service.status())


def _start(config: assigner.ServiceConfig, log: structlog.BoundLogger, decision_module: Callable) -> Service:
    from hollyridge.service import Service

    try:
        service = Service(config, log, decision_module)
        service.start()
    except ValueError as error:
        log.error("keys_rejected", error=str(error))  # noqa: TRY400 - the message is complete without a traceback
        sys.exit(ExitCode.BAD_INPUT)
    except OSError as error:
        log.error("service_start_failed", error=str(error))  # noqa: TRY400 - the message is complete without a traceback
        sys.exit(ExitCode.ADDRESS_TAKEN)
    return service


def _handle_signals(service: Service, path: str, log: structlog.BoundLogger) -> None:
    """Install handlers that reload the settings at SIGHUP and stop the service at SIGTERM and SIGINT."""
    import gevent

    def reload() -> None:
        try:
            service.reload(assigner.load(path))
        except (FaultsError, OSError, ValueError) as error:  # the current settings stay in force
            log.error("configuration_reload_failed", error=str(error))  # noqa: TRY400 - no traceback needed

    gevent.signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, service.stop)


@main.command()
@click.argument("script", type=click.Path())
@click.option("--report", type=click.Path(file_okay=False), help="Write recordings and a report page to this folder.")
@click.option("--seed", type=int, help="Seed that replaces the scenario's own.")
@click.option("--policy", default="", help="Decision module of the laboratory that replaces the service's own.")
@click.option("--fronts", default="", help="Protocols that replace the scenario's own: sasp, clone or sasp,clone.")
@click.option("--json", "as_json", is_flag=True, help="Print verdicts and figures as one JSON object.")
def day(  # noqa: PLR0913, PLR0917 - click passes each option as an argument
    script: str, report: str | None, seed: int | None, policy: str, fronts: str, as_json: bool
) -> None:
    """Play the day in SCRIPT against a real assigner process on loopback.

    Checks the five rules on the recorded traffic of the sockets. The exit code is 0 only if all rules were kept.
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
