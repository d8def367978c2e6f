"""Faults of a zone: it is lost, cut off, or its links are slow."""

from __future__ import annotations

from hollyridge.lab.environment import Worker
from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.scenario import FaultSection


class ZoneFaults(FaultBase):
    """Faults of a zone."""

    def zone_lost(self, fault: FaultSection) -> None:
        """Let a zone's tasks die and come back cold; `all`: they fall silent, and its proxies die with them."""
        zone, all_of_it = self.zone_of(fault), fault.form == "all"
        tasks = self.running_tasks(zone)
        proxies = self.proxies_in(self.zones.index(zone)) if all_of_it else []
        self.kill_proxies(proxies)
        self.fail_tasks(tasks, silent=all_of_it)
        self.world.sleep(fault.for_s)
        self.restart_tasks(tasks)
        self.restart_proxies(proxies)

    def _links(self, zone: int, others: list[int]) -> list[tuple[Worker, list[str]]]:
        """Workers of proxies with the far ends of their links (octets), between a zone and others; the zone's first."""
        return [
            (self.proxy_workers[zone], [self.zone_octet(other) for other in others]),
            *((self.proxy_workers[other], [self.zone_octet(zone)]) for other in others),
        ]

    def zone_cut(self, fault: FaultSection) -> None:
        """Cut a zone's tasks off from the other zones.

        `all`: also the other way round, and streams and reports reach assigners of their own side only. A lone assigner
        is on the other side; of several each zone has some.
        """
        zone, all_of_it = self.zones.index(self.zone_of(fault)), fault.form == "all"
        links = self._links(zone, [other for other in range(len(self.zones)) if other != zone])
        for worker, ends in links if all_of_it else links[1:]:
            worker.execute("set", name="", attributes={"unreachable_zones": ends})
        if all_of_it:
            self._cut_streams(zone)
        self.world.sleep(fault.for_s)
        for worker, _ in links:
            worker.execute("set", name="", attributes={"unreachable_zones": []})
        for worker in self.proxy_workers:
            worker.execute("set", name="", attributes={"unreachable_assigners": []})

    def _cut_streams(self, cut_zone: int) -> None:
        """Break the streams between a zone and the assigners of the others."""
        numbers = range(self.assigner_count)
        inside = [number for number in numbers if self.assigner_count > 1 and number % len(self.zones) == cut_zone]
        for zone, worker in enumerate(self.proxy_workers):
            far = [number for number in numbers if (number in inside) != (zone == cut_zone)]
            worker.execute("set", name="", attributes={"unreachable_assigners": far})
            for uid in self.proxies_in(zone):
                worker.execute("leave", name=uid, far=far)

    def slow_link(self, fault: FaultSection) -> None:
        """Add `size` seconds each way and lose `extra` of what is sent, between a zone and all others or one."""
        zone = self.zones.index(self.zone_of(fault))
        others = [other for other in range(len(self.zones)) if other != zone]
        if fault.form == "pair":
            others = self.rng.sample(others, min(1, len(others)))
        links = self._links(zone, others)
        for worker, ends in links:
            faults = {end: [fault.size, fault.extra] for end in ends}
            worker.execute("set", name="", attributes={"link_faults": faults})
        self.world.sleep(fault.for_s)
        for worker, _ in links:
            worker.execute("set", name="", attributes={"link_faults": {}})
