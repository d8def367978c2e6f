"""A whole assigner from its terms: machine, loop, fronts, intake. Used by the command line and the laboratory."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import zmq.green as zmq

from hollyridge.clone.front import CloneFront
from hollyridge.core.loop import Loop, monotonic_us
from hollyridge.core.machine import Machine
from hollyridge.otlp.intake import Intake
from hollyridge.otlp.reading import Names
from hollyridge.rules import Assigner
from hollyridge.sasp.codec import Member
from hollyridge.sasp.front import SaspFront
from hollyridge.settings.assigner import AssignerTerms
from hollyridge.steering.doorkeeper import Doorkeeper
from hollyridge.steering.presence import Presence


class Service:
    """`make` builds the decision module. `start` listens (OSError if an address is taken), `run` blocks until
    `stop` and raises what the machine raises when it gives up."""

    def __init__(self, terms: AssignerTerms, log, make: Callable = Assigner,
                 clock: Callable = monotonic_us) -> None:
        self.terms, self.log = terms, log
        boot = terms.bootstrap()
        self.machine = Machine(boot, terms.assigner.seed, terms.limits(), clock(), log, make)
        self.loop = Loop(self.machine, clock)
        sasp, channel = terms.sasp, terms.channel
        keeper = Doorkeeper(sasp.connections_most, sasp.connections_each, sasp.connects_per_s, sasp.requests_per_s,
                            channel.messages_most / channel.messages_over_s)
        presence = Presence(boot.drain_grace, boot.bare)
        self.front = SaspFront(self.loop, terms.sasp_terms(), presence, keeper, terms.zone_finder(), log)
        self.clone = None
        if terms.clone.listen:
            self.clone = CloneFront(self.loop, terms.clone_terms(), Presence(boot.drain_grace, boot.bare), keeper,
                                    terms.zone_finder(), self.task_name, log, zmq.Context())
        self.intake = Intake(self.loop, terms.otlp_terms(), self.names(), self.status, log)

    def task_name(self, task: int) -> str:
        address, port, _ = self.machine.tasks.names[task]
        return f"{Member(address, port).host}:{port}"

    def names(self) -> Names:
        zones = {name: z for z, name in enumerate(self.terms.zone_names)}
        methods = {name: k for k, name in enumerate(self.terms.method_names)}
        known: dict[str, tuple] = {}

        def task(name: str) -> int | None:
            key = known.get(name)
            if key is None:
                host, _, port = name.rpartition(":")
                try:
                    key = Member.at(host.strip("[]"), int(port)).key
                except ValueError:
                    return None
                if len(known) < 100_000:
                    known[name] = key
            return self.machine.tasks.index.get(key)
        return Names(zones.get, task, self.machine.proxies.index.get, methods.get)

    def start(self) -> tuple[int, int]:
        """The ports that SASP and OTLP listen on."""
        ports = self.front.start(), self.intake.start()
        if self.clone is not None:
            self.clone.start()
        if self.terms.log.status_every_s:
            gevent.spawn(self.tell_status)
        return ports

    def run(self) -> None:
        self.loop.run()

    def stop(self) -> None:
        self.loop.stop()
        self.front.stop()
        if self.clone is not None:
            self.clone.stop()
        self.intake.stop()

    def status(self) -> dict:
        fronts = {"sasp": self.front.status(), **({"clone": self.clone.status()} if self.clone else {})}
        return {"core": self.machine.status(), **fronts, "otlp": self.intake.status()}

    def tell_status(self) -> None:
        while True:
            gevent.sleep(self.terms.log.status_every_s)
            self.log.info("status", **self.status())
