"""Faults of tasks: restarts, machines that vanish, slow and failing tasks, false load reports."""

from __future__ import annotations

from hollyridge.lab.faults.base import FaultBase
from hollyridge.lab.fleet import FleetTask
from hollyridge.lab.scenario import FaultSection
from hollyridge.lab.stand_ins.agent import Agent

AFTER_GRACE_S = 1.5  # time for which a drained task keeps running after the promised grace period
RESTART_DELAY_S = 0.2  # time from the kill of a task to its start at the same address
AGEING_STEPS_PER_S = 2  # number of times per second at which ageing tasks get slower
PAUSE_CYCLE_FACTOR = 3  # time from one pause to the next, as a multiple of the pause


class TaskFaults(FaultBase):
    """Methods that cause the faults of tasks."""

    def release(self, fault: FaultSection) -> None:
        """Replace tasks by new ones at other addresses; each old task is drained and then stopped."""
        old = self.sample(self.running_tasks(), fault.part)
        self.run_concurrently([(self._replace_task, task) for task in old], fault.for_s / max(len(old), 1))

    def _replace_task(self, old: FleetTask) -> None:
        new = self.add_task(old.zone, cold=True)
        self.notify_running(new)
        self.notify_agents(Agent.task_draining, old.key)
        longest_notice_s = self.scenario.day.notice_ms[1] / 1e3
        self.world.sleep(longest_notice_s + self.config.promises.drain_grace_s + AFTER_GRACE_S)
        if old.up:
            self.stop_task(old)
            self.notify_agents(Agent.task_stopped, old.key, old.run)

    def restart_in_place(self, fault: FaultSection) -> None:
        """Kill tasks and start them at the same address before the agent has noticed."""
        for task in self.sample(self.running_tasks(), fault.part):
            self.stop_task(task)
            self.world.sleep(RESTART_DELAY_S)
            self.restart_tasks([task])

    def vanish(self, fault: FaultSection) -> None:
        """Make machines vanish, without an answer or a reset connection, and restart their tasks cold."""
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        self.fail_tasks(tasks, silent=True)
        self.world.sleep(fault.for_s)
        self.restart_tasks(tasks)

    def ageing(self, fault: FaultSection) -> None:
        """Slow tasks down gradually up to the factor `size`, kill them, and restart them cold after `extra` s."""
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

    def _set_tasks_temporarily(self, fault: FaultSection, during: dict, after: dict) -> None:
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        self.run_concurrently(
            [(self.set_temporarily, fault, [self.task_workers[task.zone]], task.name, during, after) for task in tasks]
        )

    def hang(self, fault: FaultSection) -> None:
        """Make tasks work without answering."""
        self._set_tasks_temporarily(fault, {"hung": True}, {"hung": False})

    def errors(self, fault: FaultSection) -> None:
        """Make the fraction `size` of the RPCs fail immediately."""
        self._set_tasks_temporarily(fault, {"error_rate": fault.size}, {"error_rate": 0.0})

    def method_fails(self, fault: FaultSection) -> None:
        """Make the fraction `size` of one method's RPCs fail or stay unanswered; other methods are served as usual."""
        names = list(self.config.methods)
        method = names.index(fault.method) if fault.method else self.rng.randrange(len(names))
        during = {"method_failure": [method, fault.size, fault.form == "silence"]}
        self._set_tasks_temporarily(fault, during, {"method_failure": []})

    def handshake_slow(self, fault: FaultSection) -> None:
        """Make new connections take `size` more seconds and `extra` times the work."""
        during = {"handshake_factor": fault.extra, "connect_delay_s": fault.size}
        self._set_tasks_temporarily(fault, during, {"handshake_factor": 1.0, "connect_delay_s": 0.0})

    def false_loads(self, fault: FaultSection) -> None:
        """Make tasks report the fraction `size` of their load and be slower by the factor `extra`.

        With the form `busy` they report that they are full and are not slower.
        """
        slowdown = 1.0 if fault.form == "busy" else max(1.0, fault.extra)
        during = {"false_load": [fault.form, fault.size], "slowdown": slowdown}
        self._set_tasks_temporarily(fault, during, {"false_load": [], "slowdown": 1.0})

    def pauses(self, fault: FaultSection) -> None:
        """Pause tasks for `size` seconds, repeatedly."""
        end_us = self.world.now() + fault.for_s * 1e6
        tasks = self.sample(self.running_tasks(fault.zone), fault.part)
        while self.world.now() < end_us:
            for task in tasks:
                if task.up:
                    self.task_workers[task.zone].execute("pause", name=task.name, seconds=fault.size)
            self.world.sleep(fault.size * PAUSE_CYCLE_FACTOR)
