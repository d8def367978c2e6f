"""The configuration read again while the assigner serves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from hollyridge.node.config import ConfigError, NodeConfig

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

# Pauses between readings of a file that can't be used: it may have been half replaced when the signal came.
RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)


class ConfigReloader:
    """Takes a replaced configuration; one that can't be used changes nothing.

    Only the address of discovery is taken while the assigner serves. What else differs needs a restart and is named in
    the log.

    Args:
        config: What the assigner was started with.
        read: Reads the configuration again, ConfigError if it can't be used.
        change_discovery_address: Called with the new address of discovery.
        log: A structlog logger.
    """

    def __init__(
        self,
        config: NodeConfig,
        read: Callable[[], NodeConfig],
        change_discovery_address: Callable[[tuple[str, int]], None],
        log: FilteringBoundLogger,
    ) -> None:
        self.config = config
        self.read = read
        self.change_discovery_address = change_discovery_address
        self.log = log
        self.last_call = 0

    def reload(self) -> None:
        """Read the configuration again and take what can be taken."""
        self.last_call += 1
        config = self._read_with_retries(self.last_call)
        if config is not None:
            self._take(config)

    def _read_with_retries(self, call: int) -> NodeConfig | None:
        """The configuration; None if it can't be used, or a newer call reads it."""
        logged = ""
        for pause_s in (*RETRY_PAUSES_S, 0):
            try:
                return self.read()
            except ConfigError as error:
                if str(error) != logged:
                    logged = str(error)
                    faults = logged.splitlines()
                    self.log.error("configuration_rejected", faults=faults)  # noqa: TRY400 -- the faults say it all
            gevent.sleep(pause_s)
            if call != self.last_call:
                return None
        return None

    def _take(self, config: NodeConfig) -> None:
        current = self.config
        restart_fields = [
            ("name", current.name, config.name),
            ("listen", current.listen, config.listen),
            ("limits", current.limits, config.limits),
            ("values", current.settings, config.settings),  # the file's `settings`, under this name in the log
        ]
        if config.discovery != current.discovery:
            self.change_discovery_address(config.discovery)
        self.config = current._replace(discovery=config.discovery)
        host, port = config.discovery
        self.log.info(
            "configuration_reloaded",
            discovery=f"{host}:{port}",
            need_a_restart=[name for name, old, new in restart_fields if old != new],
        )
