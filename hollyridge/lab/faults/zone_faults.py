"""Faults of a zone: loss, isolation, and slow links."""

from __future__ import annotations

from hollyridge.lab.environment import Worker
from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.scenario import FaultSection


class ZoneFaults(FaultBase):
    """Methods that cause the faults of a zone."""

    def zone_lost(self, fault: FaultSection) -> None:
        """Kill a zone's tasks and restart them cold.

        With the form `all` the tasks' machines vanish instead, and the zone's proxies are killed and restarted too.
        """
        zone, whole_zone = self.affected_zone(fault), fault.form == "all"
        tasks = self.running_tasks(zone)
        proxies = self.proxies_in(self.zones.index(zone)) if whole_zone else []
        self.kill_proxies(proxies)
        self.fail_tasks(tasks, silent=whole_zone)
        self.world.sleep(fault.for_s)
        self.restart_tasks(tasks)
        self.restart_proxies(proxies)

    def _links(self, zone: int, others: list[int]) -> list[tuple[Worker, list[str]]]:
        """Return the links between a zone and others as (worker of proxies, zone octets of the far ends).

        The first element belongs to the worker of the zone itself.
        """
        return [
            (self.proxy_workers[zone], [self.zone_octet(other) for other in others]),
            *((self.proxy_workers[other], [self.zone_octet(zone)]) for other in others),
        ]

    def zone_cut(self, fault: FaultSection) -> None:
        """Make a zone's tasks unreachable from the other zones.

        With the form `all` tasks of the other zones are unreachable from this zone too, and streams and load reports
        reach only assigners on the same side. A single assigner is on the side of the other zones; several are
        distributed over all zones.
        """
        zone, whole_zone = self.zones.index(self.affected_zone(fault)), fault.form == "all"
        links = self._links(zone, [other for other in range(len(self.zones)) if other != zone])
        for worker, ends in links if whole_zone else links[1:]:
            worker.execute("set", name="", attributes={"unreachable_zones": ends})
        if whole_zone:
            self._cut_streams(zone)
        self.world.sleep(fault.for_s)
        for worker, _ in links:
            worker.execute("set", name="", attributes={"unreachable_zones": []})
        for worker in self.proxy_workers:
            worker.execute("set", name="", attributes={"unreachable_assigners": []})

    def _cut_streams(self, cut_zone: int) -> None:
        """Break the streams between either side of the cut and the assigners on the other side."""
        numbers = range(self.assigner_count)
        inside = [number for number in numbers if self.assigner_count > 1 and number % len(self.zones) == cut_zone]
        for zone, worker in enumerate(self.proxy_workers):
            far = [number for number in numbers if (number in inside) != (zone == cut_zone)]
            worker.execute("set", name="", attributes={"unreachable_assigners": far})
            for uid in self.proxies_in(zone):
                worker.execute("leave", name=uid, far=far)

    def slow_link(self, fault: FaultSection) -> None:
        """Add `size` seconds of one-way delay, and lose the fraction `extra` of RPCs and answers, on links of a zone.

        These are the links to all other zones, or with the form `pair` the link to one of them.
        """
        zone = self.zones.index(self.affected_zone(fault))
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
