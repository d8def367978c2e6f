"""A process that houses stand-in tasks or proxies: commands as JSON lines on standard input, answers on standard
output, recordings in a file of its own. `python -m hollyridge.lab.house FILE.jsonl`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from hollyridge.lab.physics import Build  # noqa: E402
from hollyridge.lab.proxy import Proxy  # noqa: E402
from hollyridge.lab.record import Recorder  # noqa: E402
from hollyridge.lab.task import Task, TaskServer  # noqa: E402
from hollyridge.lab.world import LiveWorld  # noqa: E402


class House:
    def __init__(self, path: str) -> None:
        self.record, self.world = Recorder(path), LiveWorld()
        self.tasks: dict[str, TaskServer] = {}
        self.proxies: dict[str, Proxy] = {}
        self.effects: dict[str, int] = {}  # tokens of the tasks here: one house holds one zone

    def say(self, **facts) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(facts) + b"\n")
        sys.stdout.buffer.flush()

    def obey(self, order: dict) -> None:
        do = order.pop("do")
        getattr(self, "do_" + do)(**order)

    def do_task(self, name: str, host: str, port: int, run: str, build: dict, cold: bool, kinds: list, window: list,
                seed: int) -> None:
        task = TaskServer(self.world, name, host, port, run=run, build=Build(**build), cold=cold, kinds=kinds,
                          window=window, effects=self.effects, record=self.record, seed=seed,
                          fell=lambda task: self.say(fell=task.name))
        self.tasks[name] = task
        self.say(started=name, key=task.task.key, run=run)

    def do_proxy(self, uid: str, **terms) -> None:
        self.proxies[uid] = Proxy(self.world, uid, record=self.record, **terms)

    def do_kill(self, name: str) -> None:
        if name in self.tasks:
            self.tasks.pop(name).stop("killed")
        if name in self.proxies:
            self.proxies.pop(name).stop()

    def do_set(self, name: str, **what) -> None:
        """Attributes of one stand-in, or of all for an empty name."""
        for one in [*(server.task for server in self.tasks.values()), *self.proxies.values()]:
            key = one.name if isinstance(one, Task) else one.uid
            if name in ("", key):
                for attribute, value in what.items():
                    if hasattr(one, attribute):
                        setattr(one, attribute, set(value) if attribute == "cut" else value)

    def do_pause(self, name: str, seconds: float) -> None:
        if name in self.tasks:
            self.tasks[name].task.pause(seconds)

    def do_break(self, name: str) -> None:
        for proxy in self.proxies.values():
            if name in ("", proxy.uid):
                proxy.hang_up()


def main() -> None:
    house = House(sys.argv[1])
    for line in FileObject(sys.stdin.buffer, "rb"):
        house.obey(msgspec.json.decode(line))
    for one in house.proxies.values():
        one.down = True
    gevent.sleep(0.01)
    house.record.flush()


if __name__ == "__main__":
    main()
