"""Changes of traffic: a fleet that grows, a surge, traffic that moves to one zone."""

from __future__ import annotations

from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.scenario import FaultSection

SHIFT_STEPS = 8


class TrafficFaults(FaultBase):
    """Changes of traffic."""

    def grow(self, fault: FaultSection) -> None:
        """Let the fleet grow to `size` times as many, new ones cold; `extra` of that in traffic follows."""
        count = max(1, round((fault.size - 1) * len(self.running_tasks())))
        for added in range(1, count + 1):
            task = self.add_task(added % len(self.zones), cold=True)
            self.notify_running(task)
            self.scale_traffic(fault, 1 + (fault.size - 1) * fault.extra * added / count)
            self.world.sleep(fault.for_s / count)

    def surge(self, fault: FaultSection) -> None:
        """Send `size` times as many RPCs."""
        self.scale_traffic(fault, fault.size)
        self.world.sleep(fault.for_s)
        self.scale_traffic(fault, 1.0)

    def shift(self, fault: FaultSection) -> None:
        """Move `size` of the other zones' traffic to one zone, for good."""
        target = self.zones.index(self.zone_of(fault))
        rates = [0.0] * len(self.zones)
        for uid, zone in self.proxies.items():
            rates[zone] += self.proxy_arguments[uid]["rate"]
        for step in range(1, SHIFT_STEPS + 1):
            moved = fault.size * step / SHIFT_STEPS
            for zone, rate in enumerate(rates):
                factor = 1 + moved * (sum(rates) - rate) / rate if zone == target else 1 - moved
                self.scale_traffic(fault, factor, zone)
            self.world.sleep(fault.for_s / SHIFT_STEPS)
