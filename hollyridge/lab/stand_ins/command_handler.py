"""Handler of the commands by which a day controls its stand-ins, live or simulated."""

from __future__ import annotations

from collections.abc import Iterable

from hollyridge.lab.environment import DayError
from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.task import Task

SET_ATTRIBUTES = ("unreachable_zones", "unreachable_assigners")  # sets, sent as lists because commands may be JSON


class CommandHandler:
    """Handler of the commands; the method `do_NAME` executes the command NAME.

    Attributes:
        tasks: Running tasks by name, each a `Task` or, in a worker process, its `TaskServer`.
        proxies: Running proxies, by uid.
    """

    tasks: dict
    proxies: dict[str, Proxy]

    def execute(self, command: str, **arguments: object) -> None:
        """Execute one command."""
        getattr(self, "do_" + command)(**arguments)

    def running_tasks(self) -> Iterable[Task]:
        """Return the `Task` of each running task."""
        return list(self.tasks.values())

    def do_kill(self, name: str) -> None:
        """Kill a task or a proxy."""
        if name in self.tasks:
            self.tasks.pop(name).stop("killed")
        if name in self.proxies:
            self.proxies.pop(name).stop()

    def do_set(self, name: str, attributes: dict[str, object]) -> None:
        """Set fault attributes of one stand-in, or of all if the name is empty.

        Raises:
            DayError: An attribute exists for no kind of stand-in.
        """
        unknown = set(attributes) - Task.FAULT_ATTRIBUTES - Proxy.FAULT_ATTRIBUTES
        if unknown:
            raise DayError(f"neither tasks nor proxies have the fault attributes {sorted(unknown)}")
        for stand_in in [*self.running_tasks(), *self.proxies.values()]:
            if name not in ("", stand_in.name if isinstance(stand_in, Task) else stand_in.uid):
                continue
            for attribute, value in attributes.items():
                if attribute in stand_in.FAULT_ATTRIBUTES:
                    setattr(stand_in, attribute, set(value) if attribute in SET_ATTRIBUTES else value)

    def do_factor(self, name: str, cause: str, value: float) -> None:
        """Set a fault's factor of the RPC rate of one proxy, or of all if the name is empty.

        The factors of several faults multiply.
        """
        for proxy in self.proxies.values():
            if name in ("", proxy.uid):
                proxy.rate_factors[cause] = value

    def do_pause(self, name: str, seconds: float) -> None:
        """Stall a stand-in for this time."""
        for task in self.running_tasks():
            if task.name == name:
                task.pause(seconds)
        for proxy in self.proxies.values():
            if proxy.uid == name:
                proxy.pause(seconds)

    def do_leave(self, name: str, far: list[int]) -> None:
        """Close a proxy's stream if it is connected to one of these assigners."""
        if name in self.proxies and self.proxies[name].gateway.assigner_index in far:
            self.proxies[name].disconnect()

    def do_break(self, name: str) -> None:
        """Close the stream to the assigner of one proxy, or of all if the name is empty."""
        for proxy in list(self.proxies.values()):
            if name in ("", proxy.uid):
                proxy.disconnect()
