"""Process that runs stand-in tasks or proxies: `python -m hollyridge.lab.stand_ins.worker_process FILE.jsonl`.

It reads commands as JSON lines from standard input, writes messages as JSON lines to standard output, and appends
records to the file.
"""

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
from hollyridge.lab.stand_ins.task import Task  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.task_model import TaskSpec  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.task_server import TaskServer  # noqa: E402 - after the patch
from hollyridge.lab.stand_ins.world import LiveWorld  # noqa: E402 - after the patch

LAST_RECORDS_S = 0.01  # time for ending greenlets to write their last records


class WorkerProcess(CommandHandler):
    """Command handler that runs stand-ins on real sockets."""

    def __init__(self, path: str) -> None:
        """Append records to the file at `path`."""
        self.record = Recorder(path)
        self.world = LiveWorld()
        self.tasks: dict[str, TaskServer] = {}
        self.proxies: dict[str, Proxy] = {}
        self.effects: dict[str, int] = {}  # shared by the tasks of this process, which are those of one zone

    def tell(self, **fields: object) -> None:
        """Write a message to the day."""
        sys.stdout.buffer.write(msgspec.json.encode(fields) + b"\n")
        sys.stdout.buffer.flush()

    def running_tasks(self) -> list[Task]:
        """Return the `Task` of each running task."""
        return [server.task for server in self.tasks.values()]

    def do_task(self, name: str, host: str, port: int, run: str, build: dict, **options: object) -> None:
        """Start a task; port 0 selects a free port."""
        server = TaskServer(
            self.world,
            name,
            host,
            port,
            run=run,
            build=TaskSpec(**build),
            effects=self.effects,
            record=self.record,
            on_crash=lambda task: self.tell(fell=task.name),
            **options,
        )
        self.tasks[name] = server
        self.tell(started=name, key=server.task.key, run=run)

    def do_proxy(self, uid: str, **options: object) -> None:
        """Start a proxy."""
        self.proxies[uid] = Proxy(self.world, uid, record=self.record, **options)


def main() -> None:
    """Execute commands until standard input ends."""
    worker = WorkerProcess(sys.argv[1])
    for line in FileObject(sys.stdin.buffer, "rb"):
        command = msgspec.json.decode(line)
        worker.execute(command.pop("command"), **command)
    for proxy in worker.proxies.values():
        proxy.down = True
    gevent.sleep(LAST_RECORDS_S)
    worker.record.flush()


if __name__ == "__main__":
    main()
