"""Faults of proxies: broken and unread streams, late load reports, stalls, kills."""

from __future__ import annotations

from hollyridge.lab.faults.base import MIN_STALL_GAP_S, FaultBase
from hollyridge.lab.scenario import FaultSection


class ProxyFaults(FaultBase):
    """Methods that cause the faults of proxies."""

    def streams_broken(self, fault: FaultSection) -> None:
        """Break streams to the assigner."""
        for uid in self.sample(list(self.proxies), fault.part):
            self.worker_of(uid).execute("break", name=uid)

    def unread(self, fault: FaultSection) -> None:
        """Make proxies stop reading their streams, which stay open."""
        uids = self.sample(list(self.proxies), fault.part)
        during, after = {"reading_stopped": True}, {"reading_stopped": False}
        self.run_concurrently(
            [(self.set_temporarily, fault, [self.worker_of(uid)], uid, during, after) for uid in uids]
        )

    def slow_orders(self, fault: FaultSection) -> None:
        """Make proxies take `size` seconds to read each update."""
        self.set_temporarily(fault, self.proxy_workers, "", {"read_delay_s": fault.size}, {"read_delay_s": 0.0})

    def late_sums(self, fault: FaultSection) -> None:
        """Delay load reports by `size` seconds."""
        self.set_temporarily(fault, self.proxy_workers, "", {"report_delay_s": fault.size}, {"report_delay_s": 0.0})

    def proxies_killed(self, fault: FaultSection) -> None:
        """Kill proxies and start them again."""
        uids = self.sample(list(self.proxies), fault.part)
        self.kill_proxies(uids)
        self.world.sleep(fault.for_s)
        self.restart_proxies(uids)

    def proxies_stalled(self, fault: FaultSection) -> None:
        """Stall proxies repeatedly for `size` seconds, with gaps of `extra` seconds.

        After a stall they handle everything that has arrived meanwhile at once.
        """
        end_us = self.world.now() + fault.for_s * 1e6
        if fault.form == "zone":
            uids = self.proxies_in(self.zones.index(self.affected_zone(fault)))
        else:
            uids = self.sample(list(self.proxies), fault.part)
        while self.world.now() < end_us:
            for uid in uids:
                self.worker_of(uid).execute("pause", name=uid, seconds=fault.size)
            self.world.sleep(fault.size + max(MIN_STALL_GAP_S, fault.extra))
