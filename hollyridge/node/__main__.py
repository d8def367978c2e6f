"""`python -m hollyridge.node`: the assigner as the platform starts it."""

from __future__ import annotations

import signal
import sys

early: list[int] = []  # SIGHUPs that came before the start was over: they must not end it, nor be lost
signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))

import gc  # noqa: E402
import os  # noqa: E402

import gevent  # noqa: E402

from hollyridge.core import logs  # noqa: E402
from hollyridge.core.engine import DecisionModuleError  # noqa: E402
from hollyridge.node.application import Application  # noqa: E402
from hollyridge.node.config import ConfigError, read_file  # noqa: E402


def main() -> int:
    """Exit code 0 after SIGTERM, 2 for a configuration that can't be used, 3 for an address that is taken, 4 when the
    decision module fails on and on."""
    path = os.environ.get("BALANCER_CONFIG", "")
    log = logs.start("json", "info")
    try:
        if not path:
            raise ConfigError("BALANCER_CONFIG names no configuration file")
        terms = read_file(path)
    except ConfigError as trouble:
        for fault in str(trouble).splitlines():
            print(f"hollyridge: {fault}", file=sys.stderr)
        return 2
    program = Application(terms, log.bind(name=terms.name), lambda: read_file(path))
    gevent.signal_handler(signal.SIGTERM, program.stop)
    gevent.signal_handler(signal.SIGINT, program.stop)
    gevent.signal_handler(signal.SIGHUP, program.reload)
    try:
        program.start()
    except OSError as trouble:
        print(f"hollyridge: cannot listen on {terms.listen[0]}:{terms.listen[1]}: {trouble}", file=sys.stderr)
        return 3
    if early:
        program.reload()
    gc.collect()
    gc.freeze()
    program.log.info(
        "serves",
        listen=f"{terms.listen[0]}:{terms.listen[1]}",
        cores=terms.limits.cores,
        memory_mb=terms.limits.memory_mb,
        sockets=terms.limits.sockets,
    )
    try:
        program.run()
    except DecisionModuleError as trouble:
        program.log.error("gives up", why=str(trouble))
        return 4
    return 0


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # at once: the streams end with the process, nothing is left to be saved
