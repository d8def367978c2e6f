"""A process that houses stand-in tasks or proxies: commands as JSON lines on standard input, answers on standard
output, recordings in a file of its own. `python -m hollyridge.lab.stand_ins.worker_process FILE.jsonl`."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402 - after the patch

import gevent  # noqa: E402 - after the patch
import msgspec  # noqa: E402 - after the patch
from gevent.fileobject import FileObject  # noqa: E402 - after the patch

from hollyridge.lab.reports.record import Recorder  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.command_handler import CommandHandler  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.proxy import Proxy  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.task import Task, TaskServer  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.task_model import Build  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.world import LiveWorld  # noqa: E402 - after the patch


class WorkerProcess(CommandHandler):
    def __init__(self, path: str) -> None:
        self.record, self.world = Recorder(path), LiveWorld()
        self.tasks: dict[str, TaskServer] = {}
        self.proxies: dict[str, Proxy] = {}
        self.effects: dict[str, int] = {}  # tokens of the tasks here: one house holds one zone

    def say(self, **facts) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(facts) + b"\n")
        sys.stdout.buffer.flush()

    def bodies(self) -> list[Task]:
        return [server.task for server in self.tasks.values()]

    def do_task(
        self, name: str, host: str, port: int, run: str, build: dict, cold: bool, kinds: list, window: list, seed: int
    ) -> None:
        task = TaskServer(
            self.world,
            name,
            host,
            port,
            run=run,
            build=Build(**build),
            cold=cold,
            kinds=kinds,
            window=window,
            effects=self.effects,
            record=self.record,
            seed=seed,
            fell=lambda task: self.say(fell=task.name),
        )
        self.tasks[name] = task
        self.say(started=name, key=task.task.key, run=run)

    def do_proxy(self, uid: str, **terms) -> None:
        self.proxies[uid] = Proxy(self.world, uid, record=self.record, **terms)


def main() -> None:
    house = WorkerProcess(sys.argv[1])
    for line in FileObject(sys.stdin.buffer, "rb"):
        order = msgspec.json.decode(line)
        house.do(order.pop("do"), **order)
    for one in house.proxies.values():
        one.down = True
    gevent.sleep(0.01)
    house.record.flush()


if __name__ == "__main__":
    main()
