"""Changes of traffic: growth of the fleet, a surge, and a shift of traffic to one zone."""

from __future__ import annotations

from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.scenario import FaultSection

SHIFT_STEPS = 8  # number of equal steps in which traffic is moved


class TrafficFaults(FaultBase):
    """Methods that cause changes of traffic."""

    def grow(self, fault: FaultSection) -> None:
        """Grow the fleet by the factor `size` with cold tasks, and traffic by `extra` times the fleet's growth."""
        count = max(1, round((fault.size - 1) * len(self.running_tasks())))
        for added in range(1, count + 1):
            task = self.add_task(added % len(self.zones), cold=True)
            self.notify_running(task)
            self.scale_traffic(fault, 1 + (fault.size - 1) * fault.extra * added / count)
            self.world.sleep(fault.for_s / count)

    def surge(self, fault: FaultSection) -> None:
        """Multiply the rate of RPCs by `size`."""
        self.scale_traffic(fault, fault.size)
        self.world.sleep(fault.for_s)
        self.scale_traffic(fault, 1.0)

    def shift(self, fault: FaultSection) -> None:
        """Move the fraction `size` of the other zones' traffic to one zone permanently."""
        target = self.zones.index(self.affected_zone(fault))
        rates = [0.0] * len(self.zones)
        for uid, zone in self.proxies.items():
            rates[zone] += self.proxy_arguments[uid]["rate"]
        for step in range(1, SHIFT_STEPS + 1):
            moved = fault.size * step / SHIFT_STEPS
            for zone, rate in enumerate(rates):
                factor = 1 + moved * (sum(rates) - rate) / rate if zone == target else 1 - moved
                self.scale_traffic(fault, factor, zone)
            self.world.sleep(fault.for_s / SHIFT_STEPS)
