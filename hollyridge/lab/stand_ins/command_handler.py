"""What all houses of stand-ins do with the day's commands, in whichever world."""

from __future__ import annotations

from collections.abc import Iterable

from hollyridge.lab.stand_ins.proxy import Proxy
from hollyridge.lab.stand_ins.task import Task


class CommandHandler:
    """`tasks` by name, with `stop(why)`; `proxies` by name. `bodies()` gives the tasks themselves."""

    tasks: dict
    proxies: dict[str, Proxy]

    def do(self, what: str, **terms) -> None:
        getattr(self, "do_" + what)(**terms)

    def bodies(self) -> Iterable[Task]:
        return list(self.tasks.values())

    def do_kill(self, name: str) -> None:
        if name in self.tasks:
            self.tasks.pop(name).stop("killed")
        if name in self.proxies:
            self.proxies.pop(name).stop()

    def do_set(self, name: str, **what) -> None:
        """Attributes of one stand-in, or of all for an empty name."""
        for one in [*self.bodies(), *self.proxies.values()]:
            if name in ("", one.name if isinstance(one, Task) else one.uid):
                for attribute, value in what.items():
                    if hasattr(one, attribute):
                        setattr(one, attribute, set(value) if attribute in ("cut", "away") else value)

    def do_factor(self, name: str, cause: str, value: float) -> None:
        """What a trouble makes of the RPCs of one proxy, or of all: times so many; troubles multiply."""
        for proxy in self.proxies.values():
            if name in ("", proxy.uid):
                proxy.factors[cause] = value

    def do_pause(self, name: str, seconds: float) -> None:
        for task in self.bodies():
            if task.name == name:
                task.pause(seconds)
        for proxy in self.proxies.values():
            if proxy.uid == name:
                proxy.stalled_until = proxy.world.now() + round(seconds * 1e6)

    def do_leave(self, name: str, far: list[int]) -> None:
        """A proxy's stream ends if it goes to one of these assigners."""
        if name in self.proxies and self.proxies[name].gateway.way in far:
            self.proxies[name].hang_up()

    def do_break(self, name: str) -> None:
        """End the stream to the assigner, of one proxy or of all."""
        for proxy in list(self.proxies.values()):
            if name in ("", proxy.uid):
                proxy.hang_up()
