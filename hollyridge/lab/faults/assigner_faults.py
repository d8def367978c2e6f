"""Faults of assigners: kills, stalls, and cuts between those that share a fleet."""

from __future__ import annotations

from hollyridge.lab.faults.base import MIN_STALL_GAP_S, FaultBase
from hollyridge.lab.scenario import FaultSection

MAX_PEERS_LOST = 0.9


class AssignerFaults(FaultBase):
    """Faults of assigners."""

    def _struck_assigners(self, fault: FaultSection) -> list[int]:
        if self.assigner_count == 1:
            return [0]
        return sorted(self.sample(list(range(self.assigner_count)), fault.part))

    def assigner_killed(self, fault: FaultSection) -> None:
        """Kill assigners and start them again."""
        numbers = self._struck_assigners(fault)
        for number in numbers:
            self.kill_assigner(number)
        self.world.sleep(fault.for_s)
        for number in numbers:
            self.start_assigner(number)

    def assigner_stalled(self, fault: FaultSection) -> None:
        """Give assigners no turn for `size` seconds, again every `extra`; their sockets stay open."""
        end_us = self.world.now() + fault.for_s * 1e6
        numbers = self._struck_assigners(fault)
        while self.world.now() < end_us:
            for number in numbers:
                self.record("stalled", assigner=number, seconds=fault.size)
                self.world.spawn(self.environment.stall_assigner, number, fault.size)
            self.world.sleep(fault.size + max(MIN_STALL_GAP_S, fault.extra))

    def peers_cut(self, fault: FaultSection) -> None:
        """Cut assigners of a shared fleet off from each other; proxies reach all as before.

        `halves`: two halves of them; `one_way`: one is not heard by the others; `lossy`: `size` of all is lost.
        """
        numbers = list(range(self.assigner_count))
        count = len(numbers) // 2 if fault.form == "halves" else 1
        cut_off = sorted(self.rng.sample(numbers, max(1, count)))
        others = [number for number in numbers if number not in cut_off]
        pairs = {(sender, receiver) for sender in cut_off for receiver in others}
        if fault.form == "halves":
            pairs |= {(receiver, sender) for sender, receiver in pairs}
        if fault.form == "lossy":
            self.environment.cut_peers(set(), min(MAX_PEERS_LOST, fault.size))
        else:
            self.environment.cut_peers(pairs, 0.0)
        self.world.sleep(fault.for_s)
        self.environment.cut_peers(set(), 0.0)
