"""Faults of assigners: kills, stalls, and lost datagrams between assigners of a shared fleet."""

from __future__ import annotations

from hollyridge.lab.faults.base import MIN_STALL_GAP_S, FaultBase
from hollyridge.lab.scenario import FaultSection

MAX_LOST_FRACTION = 0.9  # maximum fraction of the datagrams between assigners that `lossy` drops


class AssignerFaults(FaultBase):
    """Methods that cause the faults of assigners."""

    def _affected_assigners(self, fault: FaultSection) -> list[int]:
        if self.assigner_count == 1:
            return [0]
        return sorted(self.sample(list(range(self.assigner_count)), fault.part))

    def assigner_killed(self, fault: FaultSection) -> None:
        """Kill assigners and start them again."""
        numbers = self._affected_assigners(fault)
        for number in numbers:
            self.kill_assigner(number)
        self.world.sleep(fault.for_s)
        for number in numbers:
            self.start_assigner(number)

    def assigner_stalled(self, fault: FaultSection) -> None:
        """Stall assigners repeatedly for `size` seconds, with gaps of `extra` seconds; their sockets stay open."""
        end_us = self.world.now() + fault.for_s * 1e6
        numbers = self._affected_assigners(fault)
        while self.world.now() < end_us:
            for number in numbers:
                self.record("stalled", assigner=number, seconds=fault.size)
                self.world.spawn(self.environment.stall_assigner, number, fault.size)
            self.world.sleep(fault.size + max(MIN_STALL_GAP_S, fault.extra))

    def peers_cut(self, fault: FaultSection) -> None:
        """Drop datagrams between assigners of a shared fleet; proxies still reach all assigners.

        The form `halves` separates two halves of the assigners, `one_way` drops what one assigner sends to the others,
        and `lossy` drops the fraction `size` of all datagrams.
        """
        numbers = list(range(self.assigner_count))
        count = len(numbers) // 2 if fault.form == "halves" else 1
        cut_off = sorted(self.rng.sample(numbers, max(1, count)))
        others = [number for number in numbers if number not in cut_off]
        pairs = {(sender, receiver) for sender in cut_off for receiver in others}
        if fault.form == "halves":
            pairs |= {(receiver, sender) for sender, receiver in pairs}
        if fault.form == "lossy":
            self.environment.cut_peers(set(), min(MAX_LOST_FRACTION, fault.size))
        else:
            self.environment.cut_peers(pairs, 0.0)
        self.world.sleep(fault.for_s)
        self.environment.cut_peers(set(), 0.0)
