"""Reload of the configuration while the assigner serves."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from hollyridge.node.config import ConfigError, NodeConfig

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

# Pauses between attempts to read an invalid file, which may have been only partly replaced when the signal came.
RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)


class ConfigReloader:
    """Reloader that applies a changed configuration; an invalid one changes nothing.

    Only a new address of discovery is applied while the assigner serves. All other changes need a restart and are
    named in the log.

    Args:
        config: Configuration with which the assigner was started.
        read: Function that reads the configuration again; raises ConfigError if it is invalid.
        change_discovery_address: Function to call with the new IP address and port of discovery.
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
        self.reload_count = 0

    def reload(self) -> None:
        """Read the configuration again and apply what can be applied without a restart."""
        self.reload_count += 1
        config = self._read_with_retries(self.reload_count)
        if config is not None:
            self._apply(config)

    def _read_with_retries(self, reload_number: int) -> NodeConfig | None:
        """Return the configuration; None if it is invalid or a newer reload has begun."""
        logged = ""
        for pause_s in (*RETRY_PAUSES_S, 0):
            try:
                return self.read()
            except ConfigError as error:
                if str(error) != logged:
                    logged = str(error)
                    faults = logged.splitlines()
                    self.log.error("configuration_rejected", faults=faults)  # noqa: TRY400 -- no traceback needed
            gevent.sleep(pause_s)
            if reload_number != self.reload_count:
                return None
        return None

    def _apply(self, config: NodeConfig) -> None:
        current = self.config
        restart_fields = [
            ("name", current.name, config.name),
            ("listen", current.listen, config.listen),
            ("limits", current.limits, config.limits),
            ("values", current.settings, config.settings),  # the file's `settings`, logged under this name
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
