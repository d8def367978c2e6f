"""Fleet of a day: starts and stops tasks, proxies and assigners, and notifies the agents after a delay."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hollyridge.lab.environment import DayError, Environment, Result, Worker
from hollyridge.lab.scenario import Scenario
from hollyridge.lab.stand_ins.agent import Agent
from hollyridge.lab.stand_ins.proxy_plan import MethodPlan, ProxyPlan

TASK_START_TIMEOUT_S = 15  # timeout of a task's start, after which the day fails
FIRST_TASK_HOST = 10  # host number in the network of a zone; lower ones are reserved for the zone itself
FIRST_PROXY_HOST = 0x8000  # host number, far above those of tasks so that no two stand-ins share an address
RATE_SIGMA = 0.5  # sigma of the lognormal distribution of the proxies' rates
RESTART_TABLE_LINES = 5  # number of lines in the first table of a restarted proxy
LOOPBACK = ipaddress.ip_network("127.0.0.0/8")


@dataclass
class FleetTask:
    """A task of the fleet, with its address and its current run.

    Attributes:
        name: Name of the task.
        zone: Index of its zone.
        host: Address that it listens at.
        port: Port that it listens at; 0 before the first start.
        run: Identifier of the current run.
        started_us: Start of the run, in microseconds; 0 for a task that was warm at the start.
        up: Whether the task runs, as far as the day knows.
    """

    name: str
    zone: int
    host: str
    port: int = 0
    run: str = ""
    started_us: int = 0
    up: bool = False

    @property
    def key(self) -> str:
        """Return the address as `host:port`."""
        return f"{self.host}:{self.port}"


class Fleet:
    """Tasks, proxies, assigners and agents of one day.

    Attributes:
        tasks: Tasks, by name.
        proxies: Index of the zone, by uid of the proxy.
        proxy_arguments: Arguments of the command that started a proxy, by uid, to start it again.
        task_workers: Workers that run the tasks, by zone.
        proxy_workers: Workers that run the proxies, by zone.
        agents: Agents, by number of the assigner.
    """

    def __init__(self, scenario: Scenario, environment: Environment, seed: int | None) -> None:
        self.scenario = scenario
        self.environment = environment
        self.world = environment.world
        self.record = environment.record
        self.config = scenario.config
        self.rng = Random(scenario.day.seed if seed is None else seed)
        self.zones = self.config.zone_names
        self.fronts = scenario.fleet.fronts
        self.assigner_count = self.config.assigner.assigners
        self.tasks: dict[str, FleetTask] = {}
        self.proxies: dict[str, int] = {}
        self.proxy_arguments: dict[str, dict] = {}
        self.task_workers: list[Worker] = []
        self.proxy_workers: list[Worker] = []
        self.agents: list[Agent] = []
        self._starting: dict[str, Result] = {}  # set to the task's address once the run has started, by run
        self._run_count = 0
        self._last_task_host = FIRST_TASK_HOST

    # Setup.

    def set_up(self) -> None:
        """Start the workers, assigners, agents, tasks and proxies that the day begins with."""
        zones = range(len(self.zones))
        self.task_workers = [self.environment.start_worker(f"tasks-{zone}", self._on_message) for zone in zones]
        self.proxy_workers = [self.environment.start_worker(f"proxies-{zone}", self._on_message) for zone in zones]
        for number in range(self.assigner_count):
            self.start_assigner(number)
        self.agents = [self.environment.agent(number) for number in range(self.assigner_count)]
        for number in range(self.scenario.fleet.tasks):
            self.add_task(number % len(self.zones), cold=False)
        for task in self.tasks.values():
            for agent in self.agents:
                agent.task_running(task.key, task.name, task.run, task.started_us)
        for agent in self.agents:
            self.environment.wait_for_sync(agent)
        self._start_proxies()

    def _on_message(self, message: dict) -> None:
        """Handle a message from a worker: a task has started, or crashed from overload."""
        if "started" in message:
            self._starting[message["run"]].set(message["key"])
        elif "fell" in message:
            task = self.tasks[message["fell"]]
            task.up = False
            self.notify_agents(Agent.task_stopped, task.key, task.run)

    def _address(self, zone: int, number: int) -> str:
        """Return the address with this host number in the zone's first network."""
        network = next(iter(self.config.zones[self.zones[zone]]))
        if not network.subnet_of(LOOPBACK):
            raise DayError(f"zone {self.zones[zone]}: network {network} found, expected a subnet of {LOOPBACK}")
        return str(network.network_address + number)

    def zone_octet(self, zone: int) -> str:
        """Return the second octet of the zone's addresses, which differs between zones."""
        return self._address(zone, 1).split(".")[1]

    # Assigners and agents.

    def start_assigner(self, number: int) -> None:
        """Start an assigner and record the start."""
        self.environment.start_assigner(number)
        self.record("assigner", number=number, up=True)

    def kill_assigner(self, number: int) -> None:
        """Kill an assigner and record the kill."""
        self.environment.kill_assigner(number)
        self.record("assigner", number=number, up=False)

    def notify_agents(self, method: Callable[..., None], *arguments: object, silent: bool = False) -> None:
        """Call a method of each agent after a random notice time, which is longer if a task fell silent."""
        for agent in self.agents:
            self.world.spawn_later(self._notice_s(silent), method, agent, *arguments)

    def _notice_s(self, silent: bool) -> float:
        low_ms, high_ms = self.scenario.day.silent_notice_ms if silent else self.scenario.day.notice_ms
        return self.rng.uniform(low_ms, high_ms) / 1e3

    def notify_running(self, task: FleetTask) -> None:
        """Notify the agents that a task runs."""
        self.notify_agents(Agent.task_running, task.key, task.name, task.run, task.started_us)

    # Tasks.

    def add_task(self, zone: int, cold: bool) -> FleetTask:
        """Add a task to the fleet and start it."""
        self._last_task_host += 1
        number = self._last_task_host
        task = FleetTask(f"shelf-{number}", zone, self._address(zone, number))
        self.tasks[task.name] = task
        self.start_task(task, cold)
        return task

    def start_task(self, task: FleetTask, cold: bool) -> None:
        """Start a run of a task, at its previous port if it had one.

        Raises:
            DayError: The task did not start in time.
        """
        methods = list(self.config.methods.values())
        self._run_count += 1
        task.run = f"r{self._run_count}"
        started = self._starting[task.run] = self.world.result()
        self.task_workers[task.zone].execute(
            "task",
            name=task.name,
            host=task.host,
            port=task.port,
            run=task.run,
            build=self._task_build(),
            cold=cold,
            kinds=[method.repeats for method in methods],
            window=[round(method.window_ms * 1e3) for method in methods],
            seed=self.rng.randrange(1 << 30),
        )
        try:
            task.port = int(started.get(timeout=TASK_START_TIMEOUT_S).rpartition(":")[2])
        except TimeoutError:
            raise DayError(f"task {task.name} at {task.host} did not start within {TASK_START_TIMEOUT_S} s") from None
        task.started_us = self.world.now() if cold else 0
        task.up = True

    def _task_build(self) -> dict:
        """Return the specification of a new task (see `task_model.TaskSpec`), with a random speed."""
        fleet, promises = self.scenario.fleet, self.config.promises
        return {
            "cores": fleet.cores,
            "speed": fleet.speed * (1 + fleet.speed_spread * (2 * self.rng.random() - 1)),
            "slots": fleet.slots,
            "queue": fleet.queue,
            "cold_from": fleet.cold_from,
            "cold_us": round(fleet.cold_s * 1e6),
            "fall_multiple": promises.fall_multiple,
            "fall_us": round(promises.fall_s * 1e6),
            "handshake_us": round(fleet.handshake_ms * 1e3),
            "connections": fleet.connections,
            "cache_us": round(fleet.cache_s * 1e6),
            "cache_keys": fleet.cache_keys,
            "cache_gain": fleet.cache_gain,
        }

    def stop_task(self, task: FleetTask) -> None:
        """Kill a task, if it runs."""
        if task.up:
            task.up = False
            self.task_workers[task.zone].execute("kill", name=task.name)

    def fail_tasks(self, tasks: list[FleetTask], silent: bool) -> None:
        """Kill tasks, or make them fall silent, and notify the agents."""
        for task in tasks:
            if silent and task.up:
                self.set_task(task, silent=True)
            else:
                self.stop_task(task)
            self.notify_agents(Agent.task_stopped, task.key, task.run, silent=silent)

    def restart_tasks(self, tasks: list[FleetTask]) -> None:
        """Start each task cold at its previous address and notify the agents."""
        for task in tasks:
            self.stop_task(task)
            self.start_task(task, cold=True)
            self.notify_running(task)

    def set_task(self, task: FleetTask, **attributes: object) -> None:
        """Set fault attributes of a task (see `Task`)."""
        self.task_workers[task.zone].execute("set", name=task.name, attributes=attributes)

    def running_tasks(self, zone: str = "") -> list[FleetTask]:
        """Return the running tasks of a zone, or of all zones if it is empty."""
        return [task for task in self.tasks.values() if task.up and zone in ("", self.zones[task.zone])]

    # Proxies.

    def _start_proxies(self) -> None:
        count = self.scenario.fleet.proxies
        weights = [self.rng.lognormvariate(0, RATE_SIGMA) for _ in range(count)]
        for number, weight in enumerate(weights):
            uid, zone = f"gw-{number}", number % len(self.zones)
            local = [task.key for task in self.tasks.values() if task.zone == zone]
            listed = local or [task.key for task in self.tasks.values()]
            first_table = self.rng.sample(listed, min(len(listed), self.config.proxies.first_table or 1))
            self.proxies[uid] = zone
            self.proxy_arguments[uid] = {
                "uid": uid,
                "host": self._address(zone, FIRST_PROXY_HOST + number),
                "zone": self.zones[zone],
                "rate": self.scenario.load.rpcs_per_s * weight / sum(weights),
                "standing": first_table,
                "home": self.rng.randrange(self.assigner_count) if self.assigner_count > 1 else 0,
                "plan": self._proxy_plan(self.fronts[number // len(self.zones) % len(self.fronts)]),
                "seed": self.rng.randrange(1 << 30),
            }
            self.proxy_workers[zone].execute("proxy", **self.proxy_arguments[uid])

    def _proxy_plan(self, front: str) -> ProxyPlan:
        """Return the configuration that all proxies of one protocol and their clients share."""
        load, config = self.scenario.load, self.config
        return ProxyPlan(
            methods=self._method_plans(),
            front=front,
            **self.environment.addresses,
            pick=config.proxies.pick,
            outlier_after=config.proxies.outlier_after,
            apply_us=self.scenario.net.apply_us,
            lost=self.scenario.net.lost,
            client_retries=load.client_retries,
            reckless=load.reckless,
            try_share=load.try_share,
            keys=load.keys,
            zipf=load.zipf,
            period_us=config.assigner.report_period_s * 1e6,
        )

    def _method_plans(self) -> list[MethodPlan]:
        load = self.scenario.load
        return [
            MethodPlan(
                name=name,
                group=method.group or name,
                repeats=method.repeats,
                share=load.shares[number],
                work_us=load.work_ms[number] * 1e3,
                deadline_us=method.deadline_ms * 1e3,
            )
            for number, (name, method) in enumerate(self.config.methods.items())
        ]

    def kill_proxies(self, uids: list[str]) -> None:
        """Kill these proxies."""
        for uid in uids:
            self.worker_of(uid).execute("kill", name=uid)

    def restart_proxies(self, uids: list[str]) -> None:
        """Start proxies again, with a first table of tasks that are registered now."""
        for uid in uids:
            zone, arguments = self.proxies[uid], self.proxy_arguments[uid]
            listed = [key for key, known in self.agents[0].registered.items() if not known.draining]
            near = [key for key in listed if self.zones[zone] == self.zones[self._zone_at(key)]] or listed
            arguments["standing"] = self.rng.sample(near, min(RESTART_TABLE_LINES, len(near)))
            arguments["seed"] += 1
            self.proxy_workers[zone].execute("proxy", **arguments)

    def worker_of(self, uid: str) -> Worker:
        """Return the worker that runs this proxy."""
        return self.proxy_workers[self.proxies[uid]]

    def _zone_at(self, key: str) -> int:
        return next(task.zone for task in self.tasks.values() if task.key == key)

    def proxies_in(self, zone: int) -> list[str]:
        """Return the uids of the proxies of a zone."""
        return [uid for uid, proxy_zone in self.proxies.items() if proxy_zone == zone]
