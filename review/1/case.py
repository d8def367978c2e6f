"""Case 1: proxies go on sending to draining tasks after a planned restart of their assigner."""

from __future__ import annotations

import signal
import sys
from collections import Counter
from pathlib import Path

from review.stand_ins import settings
from review.stand_ins.world import World, play

OWN_ZONE = tuple(method.own_zone for method in settings.METHODS)
ZONE = 2  # the step of the deploy replaces this zone's tasks: 3 of 15, a fifth of the fleet
RESTART_S = 8.0
DRAIN_S = 8.2
UP_AGAIN_S = 9.0
TASKS_END_S = 14.0  # 5.8 s after they began to drain
GONE_LISTED_S = 14.9
SUCCESSORS_LISTED_S = 15.5
END_S = 24.0


async def run(world: World, trouble: bool) -> str:
    """Play the case and return what broke the rule."""
    await world.start(END_S)
    told_s: dict[str, float] = {}
    first_answer_s = world.assigner.first_answer_s
    if trouble:
        first_answer_s = await deploy_step(world, told_s)
    await world.until(END_S)
    return drain_rule(world, told_s, first_answer_s)


async def deploy_step(world: World, told_s: dict[str, float]) -> float:
    """Replace the tasks of a zone while the assigner is restarted; return the time of its first answer."""
    old = [task for task in world.tasks.values() if task.zone == ZONE]
    await world.until(RESTART_S)
    known = world.discovery.whole()
    await world.assigner.end(signal.SIGTERM)
    await world.until(DRAIN_S)
    for task in old:
        task.state = "draining"
    draining = world.discovery.change([task.entry("terminating") for task in old])
    await world.until(UP_AGAIN_S)
    await world.assigner.start(known)
    await world.until(TASKS_END_S)
    successors = [world.add_task(f"{task.name}-next", ZONE) for task in old]
    for task, successor in zip(old, successors):
        task.stop()
        await successor.start(cold=True)
    await world.until(GONE_LISTED_S)
    world.discovery.change([task.entry("terminated") for task in old])
    await world.until(SUCCESSORS_LISTED_S)
    world.discovery.change([task.entry("in_service") for task in successors])
    told_s.update({task.name: world.discovery.told[draining] for task in old})
    return world.assigner.first_answer_s


def drain_rule(world: World, told_s: dict[str, float], first_answer_s: float) -> str:
    """Return the tries of joined proxies at tasks whose drain was told, after the grace and the slack of sockets."""
    limit_s = settings.DRAIN_GRACE_S + settings.SOCKET_SLACK_S
    late: Counter[str] = Counter()
    for proxy in world.proxies:
        for sent in proxy.tries:
            if sent.task not in told_s or sent.joined_s is None:
                continue
            begins_s = max(told_s[sent.task], sent.joined_s, first_answer_s + settings.FIRST_ANSWER_S)
            if sent.sent_s > begins_s + limit_s:
                late[sent.method] += 1
                over_s = round(sent.sent_s - begins_s - limit_s, 3)
                world.record.add("sent_after_grace", proxy=sent.proxy, task=sent.task, over=over_s)
    return f"RPCs sent to draining or removed tasks after the grace: {dict(late)}" if late else ""


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, OWN_ZONE, run))
