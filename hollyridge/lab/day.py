"""Plays a scripted day: an assigner, stand-ins around it, troubles at their times; then the checker."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from hollyridge.lab.checks.checker import Evidence, Figures, Verdict, check
from hollyridge.lab.checks.metrics import figures_of
from hollyridge.lab.checks.ownership import of_day
from hollyridge.lab.checks.parity import compare
from hollyridge.lab.scenario import FaultSection, Scenario


class DayError(Exception):
    """The day could not be played; says why."""


class Outcome(NamedTuple):
    verdicts: list[Verdict]
    figures: dict
    troubles: list[dict]
    parity: tuple[int, int, str] = (0, 0, "")


class Unit:
    """A task of the fleet: where it lives and which run of it is on."""

    def __init__(self, name: str, zone: int, host: str) -> None:
        self.name, self.zone, self.host, self.port = name, zone, host, 0
        self.run, self.born, self.up = "", 0, False

    @property
    def key(self) -> str:
        return f"{self.host}:{self.port}"


class Day:
    """Plays a day in an environment, which brings the clock, the workers that run stand-ins, the assigners and their
    agents. `on_progress` takes the part of the day that has passed."""

    def __init__(
        self,
        script: Scenario,
        environment,
        seed: int | None = None,
        on_progress: Callable[[float], None] = lambda part: None,
    ) -> None:
        self.script, self.environment, self.on_progress = script, environment, on_progress
        self.world = environment.world
        self.terms = script.config
        self.rng = Random(script.day.seed if seed is None else seed)
        self.record = environment.record
        self.zones = self.terms.zone_names
        self.units: dict[str, Unit] = {}
        self.proxies: dict[str, int] = {}  # uid: zone
        self.proxy_terms: dict[str, dict] = {}
        self.started: dict[str, object] = {}
        self.fronts = script.fleet.fronts
        self.runs, self.assigners = 0, self.terms.assigner.assigners
        self.troubles: list[dict] = []
        self.begun: set[str] = set()
        self.failures: list[str] = []

    # The cast.

    def address(self, zone: int, number: int) -> str:
        """An address of the zone's first network that no other stand-in has."""
        network = next(iter(self.terms.zones[self.zones[zone]]))
        if not network.subnet_of(ipaddress.ip_network("127.0.0.0/8")):
            raise DayError(f"zone {self.zones[zone]}: a day is played on networks of 127.0.0.0/8 only")
        return str(network.network_address + number)

    def start_assigner(self, number: int) -> None:
        self.environment.start_assigner(number)
        self.record("assigner", number=number, up=True)

    def kill_assigner(self, number: int) -> None:
        self.environment.kill_assigner(number)
        self.record("assigner", number=number, up=False)

    def tell(self, what: str, *words, silent: bool = False) -> None:
        """Each assigner's agent hears of it, in its own time."""
        for agent in self.agents:
            self.world.later(self.notice(silent), getattr(agent, what), *words)

    def tell_running(self, unit: Unit) -> None:
        self.tell("running", unit.key, unit.name, unit.run, unit.born)

    def heard(self, facts: dict) -> None:
        if "started" in facts:
            self.started[facts["run"]].set(facts["key"])
        elif "fell" in facts:
            unit = self.units[facts["fell"]]
            unit.up = False
            self.tell("gone", unit.key, unit.run)

    def notice(self, silent: bool = False) -> float:
        low, high = self.script.day.silent_notice_ms if silent else self.script.day.notice_ms
        return self.rng.uniform(low, high) / 1e3

    def run_task(self, unit: Unit, cold: bool) -> None:
        """Start a run of a task, at its old port if it had one."""
        fleet, methods = self.script.fleet, list(self.terms.methods.values())
        self.runs += 1
        unit.run = f"r{self.runs}"
        waiter = self.started[unit.run] = self.world.result()
        promises = self.terms.promises
        build = dict(
            cores=fleet.cores,
            speed=fleet.speed * (1 + fleet.speed_spread * (2 * self.rng.random() - 1)),
            slots=fleet.slots,
            queue=fleet.queue,
            cold_from=fleet.cold_from,
            cold_us=round(fleet.cold_s * 1e6),
            fall_multiple=promises.fall_multiple,
            fall_us=round(promises.fall_s * 1e6),
            handshake_us=round(fleet.handshake_ms * 1e3),
            connections=fleet.connections,
            cache_us=round(fleet.cache_s * 1e6),
            cache_keys=fleet.cache_keys,
            cache_gain=fleet.cache_gain,
        )
        self.task_workers[unit.zone].do(
            "task",
            name=unit.name,
            host=unit.host,
            port=unit.port,
            run=unit.run,
            build=build,
            cold=cold,
            kinds=[m.repeats for m in methods],
            window=[round(m.window_ms * 1e3) for m in methods],
            seed=self.rng.randrange(1 << 30),
        )
        try:
            unit.port = int(waiter.get(timeout=15).rpartition(":")[2])
        except TimeoutError:
            raise DayError(f"task {unit.name} did not start") from None
        unit.born, unit.up = self.world.now() if cold else 0, True

    def stop_task(self, unit: Unit) -> None:
        if unit.up:
            unit.up = False
            self.task_workers[unit.zone].do("kill", name=unit.name)

    def set_up(self) -> None:
        names = len(self.zones)
        self.task_workers = [self.environment.start_worker(f"tasks-{z}", self.heard) for z in range(names)]
        self.proxy_workers = [self.environment.start_worker(f"proxies-{z}", self.heard) for z in range(names)]
        for number in range(self.assigners):
            self.start_assigner(number)
        self.agents = [self.environment.agent(number) for number in range(self.assigners)]
        self.spare = 10
        for k in range(self.script.fleet.tasks):
            self.new_unit(k % names, cold=False)
        for unit in self.units.values():
            for agent in self.agents:
                agent.running(unit.key, unit.name, unit.run, unit.born)
        for agent in self.agents:
            self.environment.wait_for_sync(agent)
        weights = [self.rng.lognormvariate(0, 0.5) for _ in range(self.script.fleet.proxies)]
        for k, weight in enumerate(weights):
            uid, zone = f"gw-{k}", k % names
            home = [u.key for u in self.units.values() if u.zone == zone] or [u.key for u in self.units.values()]
            standing = self.rng.sample(home, min(len(home), self.terms.proxies.first_table or 1))
            self.proxies[uid] = zone
            self.proxy_terms[uid] = dict(
                uid=uid,
                host=self.address(zone, 0x8000 + k),
                zone=self.zones[zone],
                rate=self.script.load.rpcs_per_s * weight / sum(weights),
                standing=standing,
                home=self.rng.randrange(self.assigners) if self.assigners > 1 else 0,
                plan=self.plan(self.fronts[k // names % len(self.fronts)]),
                seed=self.rng.randrange(1 << 30),
            )
            self.proxy_workers[zone].do("proxy", **self.proxy_terms[uid])

    def new_unit(self, zone: int, cold: bool) -> Unit:
        self.spare += 1
        unit = Unit(f"shelf-{self.spare}", zone, self.address(zone, self.spare))
        self.units[unit.name] = unit
        self.run_task(unit, cold)
        return unit

    def plan(self, front: str) -> dict:
        load, terms = self.script.load, self.terms
        methods = [
            dict(
                name=name,
                group=m.group or name,
                repeats=m.repeats,
                share=load.shares[k],
                work_us=load.work_ms[k] * 1e3,
                deadline_us=m.deadline_ms * 1e3,
            )
            for k, (name, m) in enumerate(terms.methods.items())
        ]
        return dict(
            methods=methods,
            front=front,
            **self.environment.addresses,
            pick=terms.proxies.pick,
            outlier_after=terms.proxies.outlier_after,
            apply_us=self.script.net.apply_us,
            lost=self.script.net.lost,
            client_retries=load.client_retries,
            reckless=load.reckless,
            try_share=load.try_share,
            keys=load.keys,
            zipf=load.zipf,
            period_us=terms.assigner.report_period_s * 1e6,
        )

    # The troubles.

    def some(self, rows: list, part: float) -> list:
        return self.rng.sample(rows, max(1, round(part * len(rows)))) if rows else []

    def standing_units(self, zone: str = "") -> list[Unit]:
        return [u for u in self.units.values() if u.up and zone in ("", self.zones[u.zone])]

    def zone_of(self, trouble: FaultSection) -> str:
        return trouble.zone or self.rng.choice(self.zones)

    def release(self, trouble: FaultSection) -> None:
        """Each old task drains, is replaced by a new one under another address, and goes."""
        old = self.some(self.standing_units(), trouble.part)
        gap = trouble.for_s / max(len(old), 1)
        self.together([(self.replace, unit) for unit in old], gap)

    def replace(self, unit: Unit) -> None:
        new = self.new_unit(unit.zone, cold=True)
        self.tell_running(new)
        self.tell("drains", unit.key)
        self.world.sleep(self.script.day.notice_ms[1] / 1e3 + self.terms.promises.drain_grace_s + 1.5)
        if unit.up:
            self.stop_task(unit)
            self.tell("gone", unit.key, unit.run)

    def zone_lost(self, trouble: FaultSection) -> None:
        """Its tasks die and come back cold; `all`: they fall silent, and its proxies die with them."""
        zone, every = self.zone_of(trouble), trouble.form == "all"
        lost = self.standing_units(zone)
        proxies = [uid for uid, z in self.proxies.items() if every and self.zones[z] == zone]
        self.drop_proxies(proxies)
        self.go_dark(lost, every)
        self.world.sleep(trouble.for_s)
        self.come_back(lost)
        self.raise_proxies(proxies)

    def go_dark(self, units: list[Unit], silent: bool) -> None:
        for unit in units:
            if silent and unit.up:
                self.task_workers[unit.zone].do("set", name=unit.name, silent=True)
            else:
                self.stop_task(unit)
            self.tell("gone", unit.key, unit.run, silent=silent)

    def come_back(self, units: list[Unit]) -> None:
        """Each cold, at its old address."""
        for unit in units:
            self.stop_task(unit)
            self.run_task(unit, cold=True)
            self.tell_running(unit)

    def vanish(self, trouble: FaultSection) -> None:
        """Machines go silent: no answer, no reset connection."""
        lost = self.some(self.standing_units(trouble.zone), trouble.part)
        self.go_dark(lost, True)
        self.world.sleep(trouble.for_s)
        self.come_back(lost)

    def ageing(self, trouble: FaultSection) -> None:
        """Slower and slower, `size` times at the end; then they die and come back cold after `extra` seconds."""
        units = self.some(self.standing_units(trouble.zone), trouble.part)
        steps = max(1, round(trouble.for_s * 2))
        for step in range(1, steps + 1):
            self.world.sleep(trouble.for_s / steps)
            for unit in units:
                if unit.up:
                    self.task_workers[unit.zone].do("set", name=unit.name, slow=1 + (trouble.size - 1) * step / steps)
        units = [unit for unit in units if unit.up]
        self.go_dark(units, False)
        self.world.sleep(trouble.extra)
        self.come_back(units)

    def grow(self, trouble: FaultSection) -> None:
        """The fleet grows to `size` times as many within the time, new ones cold; `extra` of it in traffic follows."""
        count = max(1, round((trouble.size - 1) * len(self.standing_units())))
        for made in range(1, count + 1):
            unit = self.new_unit(made % len(self.zones), cold=True)
            self.tell_running(unit)
            self.scale(trouble, 1 + (trouble.size - 1) * trouble.extra * made / count)
            self.world.sleep(trouble.for_s / count)

    def scale(self, trouble: FaultSection, value: float, zone: int = -1) -> None:
        """RPCs of the proxies of one zone, or of all, times so many by this trouble."""
        for at, worker in enumerate(self.proxy_workers):
            if zone in (-1, at):
                worker.do("factor", name="", cause=f"{trouble.kind}-{trouble.at_s}", value=value)

    def shift(self, trouble: FaultSection) -> None:
        """`size` of the traffic of the other zones moves to one zone, for good."""
        zone = self.zones.index(self.zone_of(trouble))
        rates = [0.0] * len(self.zones)
        for uid, at in self.proxies.items():
            rates[at] += self.proxy_terms[uid]["rate"]
        steps = 8
        for step in range(1, steps + 1):
            moved = trouble.size * step / steps
            for at, rate in enumerate(rates):
                self.scale(trouble, 1 + moved * (sum(rates) - rate) / rate if at == zone else 1 - moved, at)
            self.world.sleep(trouble.for_s / steps)

    def restart_in_place(self, trouble: FaultSection) -> None:
        """Killed and back under the same address before the agent has noticed."""
        for unit in self.some(self.standing_units(), trouble.part):
            self.stop_task(unit)
            self.world.sleep(0.2)
            self.come_back([unit])

    def octet(self, zone: int) -> str:
        return self.address(zone, 1).split(".")[1]

    def links(self, zone: int, others: list[int]) -> list[tuple[object, list[str]]]:
        """Houses of proxies with what is at the far end of their links, between a zone and others."""
        return [
            (self.proxy_workers[zone], [self.octet(z) for z in others]),
            *((self.proxy_workers[z], [self.octet(zone)]) for z in others),
        ]

    def zone_cut(self, trouble: FaultSection) -> None:
        """Tasks of one zone can't be reached from the others; `all`: nor the other way round, and streams and reports
        reach assigners of their own side only. A lone assigner is on the other side; of several each zone has some."""
        zone = self.zones.index(self.zone_of(trouble))
        others = [z for z in range(len(self.zones)) if z != zone]
        ways = self.links(zone, others)
        for worker, ends in ways if trouble.form == "all" else ways[1:]:
            worker.do("set", name="", cut=ends)
        if trouble.form == "all":
            inside = [k for k in range(self.assigners) if self.assigners > 1 and k % len(self.zones) == zone]
            for at, worker in enumerate(self.proxy_workers):
                far = [k for k in range(self.assigners) if (k in inside) != (at == zone)]
                worker.do("set", name="", away=far)
                for uid in [uid for uid, z in self.proxies.items() if z == at]:
                    worker.do("leave", name=uid, far=far)
        self.world.sleep(trouble.for_s)
        for worker, _ in ways:
            worker.do("set", name="", cut=[])
        for worker in self.proxy_workers:
            worker.do("set", name="", away=[])

    def slow_link(self, trouble: FaultSection) -> None:
        """`size` seconds more each way and `extra` of what is sent lost, between one zone and all others or one."""
        zone = self.zones.index(self.zone_of(trouble))
        others = [z for z in range(len(self.zones)) if z != zone]
        if trouble.form == "pair":
            others = self.rng.sample(others, min(1, len(others)))
        ways = self.links(zone, others)
        for worker, ends in ways:
            worker.do("set", name="", links={end: [trouble.size, trouble.extra] for end in ends})
        self.world.sleep(trouble.for_s)
        for worker, _ in ways:
            worker.do("set", name="", links={})

    def for_a_while(self, trouble: FaultSection, workers: list, name: str, after: dict, **what) -> None:
        for worker in workers:
            worker.do("set", name=name, **what)
        self.world.sleep(trouble.for_s)
        for worker in workers:
            worker.do("set", name=name, **after)

    def together(self, jobs: list[tuple], gap: float = 0.0) -> None:
        """Do all of these beside each other, begun one after the other, until all are done."""
        done = []

        def work(call: Callable, words: tuple, result) -> None:
            try:
                call(*words)
            except Exception as failure:  # told below, where the trouble is told
                result.set(failure)
            result.set(None)

        for call, *words in jobs:
            done.append(self.world.result())
            self.world.spawn(work, call, tuple(words), done[-1])
            if gap:
                self.world.sleep(gap)
        for result in done:
            failure = result.get()
            if failure is not None:
                raise failure

    def at_tasks(self, trouble: FaultSection, after: dict, **what) -> None:
        self.together(
            [
                (partial(self.for_a_while, **what), trouble, [self.task_workers[u.zone]], u.name, after)
                for u in self.some(self.standing_units(trouble.zone), trouble.part)
            ]
        )

    def hang(self, trouble: FaultSection) -> None:
        self.at_tasks(trouble, {"hung": False}, hung=True)

    def errors(self, trouble: FaultSection) -> None:
        self.at_tasks(trouble, {"errors": 0.0}, errors=trouble.size)

    def method_fails(self, trouble: FaultSection) -> None:
        """One method's RPCs fail or are left unanswered there; the others are served as usual."""
        names = list(self.terms.methods)
        method = names.index(trouble.method) if trouble.method else self.rng.randrange(len(names))
        self.at_tasks(trouble, {"fails": []}, fails=[method, trouble.size, trouble.form == "silence"])

    def handshake_slow(self, trouble: FaultSection) -> None:
        """New connections take `size` seconds more and `extra` times the work."""
        self.at_tasks(trouble, {"handshake": 1.0, "dial_s": 0.0}, handshake=trouble.extra, dial_s=trouble.size)

    def false_loads(self, trouble: FaultSection) -> None:
        """They tell `size` of their load and are `extra` times slower; `busy`: they tell that they are full."""
        slow = 1.0 if trouble.form == "busy" else max(1.0, trouble.extra)
        self.at_tasks(trouble, {"lie": [], "slow": 1.0}, lie=[trouble.form, trouble.size], slow=slow)

    def pauses(self, trouble: FaultSection) -> None:
        until = self.world.now() + trouble.for_s * 1e6
        units = self.some(self.standing_units(trouble.zone), trouble.part)
        while self.world.now() < until:
            for unit in units:
                if unit.up:
                    self.task_workers[unit.zone].do("pause", name=unit.name, seconds=trouble.size)
            self.world.sleep(trouble.size * 3)

    def streams_broken(self, trouble: FaultSection) -> None:
        for uid in self.some(list(self.proxies), trouble.part):
            self.proxy_workers[self.proxies[uid]].do("break", name=uid)

    def late_sums(self, trouble: FaultSection) -> None:
        self.for_a_while(trouble, self.proxy_workers, "", {"late": 0.0}, late=trouble.size)

    def surge(self, trouble: FaultSection) -> None:
        self.scale(trouble, trouble.size)
        self.world.sleep(trouble.for_s)
        self.scale(trouble, 1.0)

    def unread(self, trouble: FaultSection) -> None:
        """Some proxies read nothing from their streams, which stay open."""
        self.together(
            [
                (
                    partial(self.for_a_while, deaf=True),
                    trouble,
                    [self.proxy_workers[self.proxies[uid]]],
                    uid,
                    {"deaf": False},
                )
                for uid in self.some(list(self.proxies), trouble.part)
            ]
        )

    def slow_orders(self, trouble: FaultSection) -> None:
        """Each message of orders takes `size` seconds to be read."""
        self.for_a_while(trouble, self.proxy_workers, "", {"slow_orders": 0.0}, slow_orders=trouble.size)

    def proxies_stalled(self, trouble: FaultSection) -> None:
        """No turn for `size` seconds, again every `extra`, then all that came at once."""
        until = self.world.now() + trouble.for_s * 1e6
        if trouble.form == "zone":
            zone = self.zones.index(self.zone_of(trouble))
            uids = [uid for uid, at in self.proxies.items() if at == zone]
        else:
            uids = self.some(list(self.proxies), trouble.part)
        while self.world.now() < until:
            for uid in uids:
                self.proxy_workers[self.proxies[uid]].do("pause", name=uid, seconds=trouble.size)
            self.world.sleep(trouble.size + max(0.1, trouble.extra))

    def assigner_stalled(self, trouble: FaultSection) -> None:
        """It stands still for `size` seconds, again every `extra`; its sockets stay open."""
        until = self.world.now() + trouble.for_s * 1e6
        some = self.some_assigners(trouble)
        while self.world.now() < until:
            for number in some:
                self.record("stalled", assigner=number, seconds=trouble.size)
                self.world.spawn(self.environment.stall_assigner, number, trouble.size)
            self.world.sleep(trouble.size + max(0.1, trouble.extra))

    def peers_cut(self, trouble: FaultSection) -> None:
        """Assigners hear each other no more: halves of them, or one is not heard by the others, or `size` of all is
        lost. Proxies reach all as before."""
        every = list(range(self.assigners))
        some = sorted(self.rng.sample(every, max(1, len(every) // 2 if trouble.form == "halves" else 1)))
        others = [k for k in every if k not in some]
        pairs = {(a, b) for a in some for b in others}
        if trouble.form == "halves":
            pairs |= {(b, a) for a, b in pairs}
        lossy = trouble.form == "lossy"
        self.environment.cut_peers(set() if lossy else pairs, min(0.9, trouble.size) if lossy else 0.0)
        self.world.sleep(trouble.for_s)
        self.environment.cut_peers(set(), 0.0)

    def some_assigners(self, trouble: FaultSection) -> list[int]:
        return sorted(self.some(list(range(self.assigners)), trouble.part)) if self.assigners > 1 else [0]

    def assigner_killed(self, trouble: FaultSection) -> None:
        killed = self.some_assigners(trouble)
        for number in killed:
            self.kill_assigner(number)
        self.world.sleep(trouble.for_s)
        for number in killed:
            self.start_assigner(number)

    def proxies_killed(self, trouble: FaultSection) -> None:
        killed = self.some(list(self.proxies), trouble.part)
        self.drop_proxies(killed)
        self.world.sleep(trouble.for_s)
        self.raise_proxies(killed)

    def drop_proxies(self, uids: list[str]) -> None:
        for uid in uids:
            self.proxy_workers[self.proxies[uid]].do("kill", name=uid)

    def raise_proxies(self, uids: list[str]) -> None:
        for uid in uids:  # it comes back with a standing table of what is listed now
            zone = self.proxies[uid]
            home = [key for key, known in self.agents[0].told.items() if not known.draining]
            near = [key for key in home if self.zones[zone] == self.zones[self.zone_at(key)]] or home
            self.proxy_terms[uid]["standing"] = self.rng.sample(near, min(5, len(near)))
            self.proxy_terms[uid]["seed"] += 1
            self.proxy_workers[zone].do("proxy", **self.proxy_terms[uid])

    def zone_at(self, key: str) -> int:
        return next(u.zone for u in self.units.values() if u.key == key)

    def cause(self, name: str, trouble: FaultSection) -> None:
        self.world.sleep(trouble.at_s)
        begun = self.world.now()
        try:
            self.record("trouble", name=name, trouble=trouble.kind, begins=True)
            self.begun.add(name)
            getattr(self, trouble.kind)(trouble)
        except Exception as failure:  # a day whose trouble did not happen proves nothing
            self.failures.append(f"trouble {name}: {type(failure).__name__}: {failure}")
        self.record("trouble", name=name, trouble=trouble.kind, begins=False)
        self.troubles.append(dict(name=name, kind=trouble.kind, begun=begun, ended=self.world.now()))

    # The whole.

    def play(self) -> Outcome:
        """Raises DayError where the day could not be played as scripted."""
        begun = self.world.now()
        try:
            begun = self.environment.play(self)
        finally:
            self.environment.end()
        missing = set(self.script.faults) - self.begun
        self.failures += self.environment.failures
        if missing or self.failures:
            raise DayError("; ".join(self.failures) or f"troubles that never began: {sorted(missing)}")
        rows = self.environment.recorded()
        for row in self.troubles:
            row["begun"], row["ended"] = ((row[key] - begun) / 1e6 for key in ("begun", "ended"))
        compared = compare(rows) if len(self.fronts) > 1 else (0, 0, "")
        seen = Evidence(rows)
        figures = figures_of(seen, self.methods())
        if self.script.fleet.shared:
            figures["ownership"] = of_day(seen)
        return Outcome(check(seen, self.figures()), figures, self.troubles, compared)

    def methods(self) -> list[dict]:
        return [
            dict(
                name=name, criticality=m.criticality, soft_us=m.soft_deadline_ms * 1e3, deadline_us=m.deadline_ms * 1e3
            )
            for name, m in self.terms.methods.items()
        ]

    def figures(self) -> Figures:
        promises, channel = self.terms.promises, self.terms.channel
        return Figures(
            bare=round(promises.bare_s * 1e6),
            grace=round(promises.drain_grace_s * 1e6),
            warm_up=round(promises.warm_up_s * 1e6),
            fall=round(promises.fall_s * 1e6),
            fall_multiple=promises.fall_multiple,
            most_waiting=channel.most_waiting,
            messages_most=channel.messages_most,
            messages_over=round(channel.messages_over_s * 1e6),
            lines_per_s=channel.lines_per_s,
            head=channel.head_lines,
            repeats=tuple(m.repeats for m in self.terms.methods.values()),
        )
