"""Faults of tasks: restarts, machines that vanish, slow and failing tasks, false load reports."""

from __future__ import annotations

from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.fleet import FleetTask
from hollyridge.lab.scenario import FaultSection
from hollyridge.lab.stand_ins.agent import Agent

AFTER_DRAIN_S = 1.5  # a drained task stays for this long after the grace that is promised
RESTART_S = 0.2
AGEING_STEPS_PER_S = 2
PAUSE_CYCLE = 3  # a pause and the time till the next, as a multiple of the pause


class TaskFaults(FaultBase):
    """Faults of tasks."""

    def release(self, fault: FaultSection) -> None:
        """Replace old tasks by new ones under other addresses: each drains and is stopped."""
        old = self.sample(self.running_tasks(), fault.part)
        self.run_together([(self._replace_task, task) for task in old], fault.for_s / max(len(old), 1))

    def _replace_task(self, old: FleetTask) -> None:
        new = self.add_task(old.zone, cold=True)
        self.notify_running(new)
        self.notify_agents(Agent.task_draining, old.key)
        longest_notice_s = self.scenario.day.notice_ms[1] / 1e3
        self.world.sleep(longest_notice_s + self.config.promises.drain_grace_s + AFTER_DRAIN_S)
        if old.up:
            self.stop_task(old)
            self.notify_agents(Agent.task_stopped, old.key, old.run)

    def restart_in_place(self, fault: FaultSection) -> None:
        """Kill tasks and start them under the same address before the agent has noticed."""
        for task in self.sample(self.running_tasks(), fault.part):
            self.stop_task(task)
            self.world.sleep(RESTART_S)
            self.restart_tasks([task])

    def vanish(self, fault: FaultSection) -> None:
        """Let machines fall silent (no answer, no reset connection) and come back cold."""
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        self.fail_tasks(tasks, silent=True)
        self.world.sleep(fault.for_s)
        self.restart_tasks(tasks)

    def ageing(self, fault: FaultSection) -> None:
        """Let tasks grow slower, `size` times at the end; they die and come back cold after `extra` seconds."""
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        steps = max(1, round(fault.for_s * AGEING_STEPS_PER_S))
        for step in range(1, steps + 1):
            self.world.sleep(fault.for_s / steps)
            for task in tasks:
                if task.up:
                    self.set_task(task, slowdown=1 + (fault.size - 1) * step / steps)
        tasks = [task for task in tasks if task.up]
        self.fail_tasks(tasks, silent=False)
        self.world.sleep(fault.extra)
        self.restart_tasks(tasks)

    def _set_tasks_for_a_while(self, fault: FaultSection, during: dict, after: dict) -> None:
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        self.run_together(
            [(self.set_for_a_while, fault, [self.task_workers[task.zone]], task.name, during, after) for task in tasks]
        )

    def hang(self, fault: FaultSection) -> None:
        """Let tasks work but answer nothing."""
        self._set_tasks_for_a_while(fault, {"hung": True}, {"hung": False})

    def errors(self, fault: FaultSection) -> None:
        """Let `size` of the RPCs fail fast."""
        self._set_tasks_for_a_while(fault, {"error_rate": fault.size}, {"error_rate": 0.0})

    def method_fails(self, fault: FaultSection) -> None:
        """Let `size` of one method's RPCs fail or stay unanswered; the others are served as usual."""
        names = list(self.config.methods)
        method = names.index(fault.method) if fault.method else self.rng.randrange(len(names))
        during = {"method_failure": [method, fault.size, fault.form == "silence"]}
        self._set_tasks_for_a_while(fault, during, {"method_failure": []})

    def handshake_slow(self, fault: FaultSection) -> None:
        """Let new connections take `size` seconds more and `extra` times the work."""
        during = {"handshake_factor": fault.extra, "connect_delay_s": fault.size}
        self._set_tasks_for_a_while(fault, during, {"handshake_factor": 1.0, "connect_delay_s": 0.0})

    def false_loads(self, fault: FaultSection) -> None:
        """Let tasks report `size` of their load and be `extra` times slower; `busy`: report that they are full."""
        slowdown = 1.0 if fault.form == "busy" else max(1.0, fault.extra)
        during = {"false_load": [fault.form, fault.size], "slowdown": slowdown}
        self._set_tasks_for_a_while(fault, during, {"false_load": [], "slowdown": 1.0})

    def pauses(self, fault: FaultSection) -> None:
        """Let tasks stand still for `size` seconds, again and again."""
        end_us = self.world.now() + fault.for_s * 1e6
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        while self.world.now() < end_us:
            for task in tasks:
                if task.up:
                    self.task_workers[task.zone].execute("pause", name=task.name, seconds=fault.size)
            self.world.sleep(fault.size * PAUSE_CYCLE)
