"""The day's commands to those that run stand-ins, live or simulated."""

from __future__ import annotations

from collections.abc import Iterable

from hollyridge.lab.environment import DayError
from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.task import Task

SET_VALUED = ("unreachable_zones", "unreachable_assigners")  # come as lists, for commands may come as JSON


class CommandHandler:
    """Carries out the commands; `do_NAME` carries out the command NAME.

    Attributes:
        tasks: By name: a `Task`, or what has one and stops it.
        proxies: By uid.
    """

    tasks: dict
    proxies: dict[str, Proxy]

    def execute(self, command: str, **arguments: object) -> None:
        """Carry out one command."""
        getattr(self, "do_" + command)(**arguments)

    def running_tasks(self) -> Iterable[Task]:
        """The tasks themselves."""
        return list(self.tasks.values())

    def do_kill(self, name: str) -> None:
        """Kill a stand-in."""
        if name in self.tasks:
            self.tasks.pop(name).stop("killed")
        if name in self.proxies:
            self.proxies.pop(name).stop()

    def do_set(self, name: str, attributes: dict[str, object]) -> None:
        """Set fault attributes of one stand-in, or of all for an empty name.

        Raises:
            DayError: No kind of stand-in has such an attribute.
        """
        unknown = set(attributes) - Task.FAULT_ATTRIBUTES - Proxy.FAULT_ATTRIBUTES
        if unknown:
            raise DayError(f"no such fault attributes: {sorted(unknown)}")
        for stand_in in [*self.running_tasks(), *self.proxies.values()]:
            if name not in ("", stand_in.name if isinstance(stand_in, Task) else stand_in.uid):
                continue
            for attribute, value in attributes.items():
                if attribute in stand_in.FAULT_ATTRIBUTES:
                    setattr(stand_in, attribute, set(value) if attribute in SET_VALUED else value)

    def do_factor(self, name: str, cause: str, value: float) -> None:
        """Let a fault multiply the RPCs of one proxy, or of all; factors of several faults multiply."""
        for proxy in self.proxies.values():
            if name in ("", proxy.uid):
                proxy.rate_factors[cause] = value

    def do_pause(self, name: str, seconds: float) -> None:
        """Give a stand-in no turn for a while."""
        for task in self.running_tasks():
            if task.name == name:
                task.pause(seconds)
        for proxy in self.proxies.values():
            if proxy.uid == name:
                proxy.pause(seconds)

    def do_leave(self, name: str, far: list[int]) -> None:
        """End a proxy's stream if it goes to one of these assigners."""
        if name in self.proxies and self.proxies[name].gateway.assigner_index in far:
            self.proxies[name].disconnect()

    def do_break(self, name: str) -> None:
        """End the stream to the assigner, of one proxy or of all."""
        for proxy in list(self.proxies.values()):
            if name in ("", proxy.uid):
                proxy.disconnect()
