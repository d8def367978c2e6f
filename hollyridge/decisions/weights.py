"""Better weights, one step a period."""

from __future__ import annotations

from hollyridge.decisions.estimates import BUSY, PRIOR, Estimates
from hollyridge.interface import AssignerConfig

STEP = 0.1  # a weight moves by at most this part in a period, and a line is sent once it moved by more
LEAST_REACH = 0.3  # part of a line's weight in the tables of other zones where a zone lacks tasks
FEEL = 0.02  # and where it does not, so that news of the way there keeps coming
WORTH = 0.5  # part of its weight that a line of another zone's task should have
TOLL = 4.0  # soft deadlines of latency that one point of the price for crossing zones is worth


class WeightController:
    """The feedback loop on heard latency: a weight goes towards the task's size x skill, a tenth at most a
    step, and counts in other zones' tables by their reach."""

    def __init__(self, config: AssignerConfig, est: Estimates) -> None:
        self.zones, self.est, self.standing = range(config.zones), est, config.initial_table_size
        self.stride = STEP / config.assigners
        self.toll = TOLL * config.cross_zone_cost * est.soft  # crossing zones as latency
        self.proposed: list[tuple[int, dict[int, float]]] = [(0, {}) for _ in self.zones]  # and until when
        self.skill: list[float] = []
        self.weight: list[float] = []
        self.reach, self.extra = (
            [[float(a == b and own) for b in self.zones] for a in self.zones] for own in (True, False)
        )

    def restart(self, task: int, hint: list[float]) -> None:
        self.skill.extend([1.0] * (len(hint) - len(self.skill)))
        self.weight.extend(hint[len(self.weight) :])
        self.skill[task], self.weight[task] = 1.0, hint[task]

    def cost(self, heard: float, load: float, away: bool) -> float:  # what one more RPC adds, and the toll
        return heard / (1 - load) + self.toll * away

    def step(self, costs: list, size: list[float], kin: list[int]) -> None:
        cost = {i: sum(row[i] for row in costs) for i in kin}
        average = sum(self.weight[i] * cost[i] for i in kin) / (sum(self.weight[i] for i in kin) or 1.0)
        for i in kin:
            # A leash keeps it near 1: equal latency, chased all the way, piles work on the quickest.
            pull = 2 * (average - cost[i]) / average - (self.skill[i] - 1)
            self.skill[i] *= 1 + max(-1.0, min(1.0, pull)) * self.stride / 3
            room = self.stride * size[i]
            self.weight[i] += max(-room, min(room, size[i] * self.skill[i] - self.weight[i]))

    def least(self, kin: int, tasks: int) -> float:
        """What a zone lacks to twice a standing table it borrows: few tasks can't even out bursts."""
        return max(FEEL, min(LEAST_REACH, (2 * self.standing - kin) / max(1, tasks - kin)))

    def stretch(
        self, heard: list, zones: list[list[int]], part: dict[int, float], factor: list, demand: list[float]
    ) -> None:
        """How far each zone reaches into the others, by the means of whole zones, which are calm."""
        mass = [sum(self.weight[i] for i in kin) for kin in zones]
        able = [sum(self.weight[i] * part[i] * row[i] for i in kin) for kin, row in zip(zones, factor)]

        def mean(row: list[float]) -> list[float]:
            return [sum(self.weight[i] * row[i] for i in kin) / (m or 1.0) for kin, m in zip(zones, mass)]

        load, met = mean(self.est.load), [mean(row) for row in heard]
        even = self.spill(able, demand, sum(load) / len(load))
        for z, reach in enumerate(self.reach):
            cost = [self.cost(met[z][to], load[to], to != z) for to in self.zones]
            told_of, least = sum(self.est.tries[z]) >= PRIOR, self.least(len(zones[z]), len(part))
            for to in self.zones:
                if to != z and mass[to] > 0:
                    pull = (cost[z] - cost[to]) / max(cost[z], cost[to]) * told_of if mass[z] > 0 else 1.0
                    self.extra[z][to] = max(0.0, min(1.0, self.extra[z][to] + pull * self.stride))
                    way = max(0.0, 1 - 2 * max(0.0, met[z][to] - met[to][to]) / self.est.soft)
                    aim = max(FEEL, (max(least, even[z][to]) + self.extra[z][to]) * way)
                    reach[to] = min(aim, reach[to] + STEP if reach[to] and able[z] > mass[z] / 2 else 1.0)

    def spill(self, able: list[float], demand: list[float], load: float) -> list[list[float]]:
        """The reach that makes all about as busy, from what comes and what tasks can do."""
        mean = sum(demand) / (sum(able) or 1.0) * max(1.1, 0.75 * BUSY / load if load > 0 else 0.0)
        need = [d / (mean or 1.0) for d in demand]
        spare = [max(0.0, a - n) * (n > 0) for a, n in zip(able, need)]
        over = [max(0.0, n - a) for a, n in zip(able, need)]
        part = 1 / (max(sum(over), sum(spare)) or 1.0)
        return [[o * part * s / a if a > 0 else 0.0 for s, a in zip(spare, able)] for o in over]

    def weights(self, zone: int, zones: list[list[int]]) -> dict[int, float]:
        """All of its own tasks, and so many of each other zone that a line is worth its place; or what is
        proposed, trimmed by skill."""
        proposed = self.proposed[zone][1]
        lines = {i: proposed[i] * self.skill[i] for kin in zones for i in kin if proposed.get(i, 0.0) > 0}
        # What is left of a plan whose tasks left with a zone is none: it kept little where all is to go now.
        if lines and sum(proposed[i] for i in lines) > (1 - STEP) * sum(proposed.values()):
            return lines
        lines = {}
        for to, kin in enumerate(zones):
            reach = self.reach[zone][to] or self.least(len(zones[zone]), sum(map(len, zones)))
            start = zone * len(kin) // len(zones)
            some = (kin[start:] + kin[:start])[: max(1, self.standing, round(len(kin) * reach / WORTH))]
            lines.update((i, self.weight[i] * reach * len(kin) / len(some)) for i in some)
        return lines
