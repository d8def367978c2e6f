"""Main function of the node process."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Collection
from typing import TYPE_CHECKING

import gevent

from hollyridge.core import logs
from hollyridge.core.engine import DecisionModuleError
from hollyridge.node.application import Application
from hollyridge.node.config import ConfigError, NodeConfig, load_config

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

CONFIG_VARIABLE = "BALANCER_CONFIG"

EXIT_STOPPED = 0
EXIT_BAD_CONFIG = 2
EXIT_ADDRESS_TAKEN = 3
EXIT_DECISION_MODULE_FAILED = 4


def run(early_reloads: Collection[int]) -> int:
    """Run the assigner with the configuration file that the environment variable BALANCER_CONFIG names.

    Args:
        early_reloads: Reload signals received before the assigner handles them itself; read once it listens.

    Returns:
        The exit code: 0 after SIGTERM or SIGINT, 2 for an invalid configuration, 3 if the address cannot be listened
        on, 4 if the decision module has failed too often.
    """
    path = os.environ.get(CONFIG_VARIABLE, "")
    log = logs.start("json", "info")
    try:
        config = _load(path)
    except ConfigError as error:
        for fault in str(error).splitlines():
            print(f"hollyridge: {fault}", file=sys.stderr)
        return EXIT_BAD_CONFIG
    application = Application(config, log.bind(name=config.name), lambda: load_config(path))
    gevent.signal_handler(signal.SIGTERM, application.stop)
    gevent.signal_handler(signal.SIGINT, application.stop)
    gevent.signal_handler(signal.SIGHUP, application.reload)
    try:
        application.start()
    except OSError as error:
        print(f"hollyridge: cannot listen on {_format_address(config.listen)}: {error}", file=sys.stderr)
        return EXIT_ADDRESS_TAKEN
    if early_reloads:
        application.reload()
    gc.collect()
    gc.freeze()  # excludes objects that live as long as the process from later collections
    _log_start(application.log, config)
    try:
        application.run()
    except DecisionModuleError as error:
        application.log.error("service_failed", reason=str(error))  # noqa: TRY400 -- the failures are logged already
        return EXIT_DECISION_MODULE_FAILED
    return EXIT_STOPPED


def _load(path: str) -> NodeConfig:
    if not path:
        raise ConfigError([f"{CONFIG_VARIABLE} is not set, expected the path of a configuration file"])
    return load_config(path)


def _log_start(log: FilteringBoundLogger, config: NodeConfig) -> None:
    log.info(
        "service_started",
        listen=_format_address(config.listen),
        cores=config.limits.cores,
        memory_mb=config.limits.memory_mb,
        sockets=config.limits.sockets,
    )


def _format_address(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"
