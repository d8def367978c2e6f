"""Fleet members on a simulated network with packet loss, partitions and paused processes."""

import heapq
from random import Random

from hollyridge.membership.messages import MemberFacts, Status
from hollyridge.membership.swim import MemberChanged, MessageReceived, SendMessage, Swim, SwimConfig, Tick

MS = 1000  # microseconds
DELAY_US = 5 * MS
CONFIG = SwimConfig(probe_period_us=200 * MS, ack_timeout_us=60 * MS)


class SimulatedFleet:
    """A simulation of members in virtual time. Times are in microseconds.

    Attributes:
        loss: Fraction of all messages that are lost.
        partitions: Pairs (sender, recipient) between which all messages are lost.
        paused_until: End of the pause of a member's process, by member.
        changes: Tuples (time, observer, `MemberChanged`) of all changes.
        sent: Number of messages sent.
    """

    def __init__(self, count, seed=1, loss=0.0):
        self.rng = Random(seed)
        self.loss = loss
        self.partitions = set()
        self.paused_until = {}
        self.now_us = 0
        self.members = {}
        self.changes = []
        self.sent = 0
        self._events = []
        self._event_number = 0
        for number in range(count):
            self.start(f"m{number}")

    def start(self, name, run_id="r0"):
        facts = MemberFacts(name, run_id, services=(("clone", f"127.0.0.1:{len(name)}"),))
        self.members[name] = Swim(name, facts, CONFIG, Random(f"{name}{run_id}"), ("m0", "m1"))
        self._schedule(self.now_us, "tick", name, self.members[name])

    def handle(self, name, event):
        for action in self.members[name].handle(self.now_us, event):
            if isinstance(action, MemberChanged):
                self.changes.append((self.now_us, name, action))
            elif isinstance(action, SendMessage):
                self._send(name, action)

    def run(self, seconds):
        until_us = self.now_us + round(seconds * 1e6)
        while self._events and self._events[0][0] <= until_us:
            self.now_us, _, kind, name, content = heapq.heappop(self._events)
            self._deliver(kind, name, content)
        self.now_us = until_us

    def view_of(self, name):
        return {other: member.status.name for other, member in self.members[name].members.items()}

    def all_members_see_all_alive(self):
        return all(
            self.view_of(name) == {other: "ALIVE" for other in self.members if other != name} for name in self.members
        )

    def declared_gone(self, since_us=0):
        """Return tuples (time, observer, member), one for each time that an observer declared a member gone."""
        return [
            (at_us, observer, change.name)
            for at_us, observer, change in self.changes
            if change.status == Status.GONE and at_us >= since_us
        ]

    def _schedule(self, at_us, *event):
        self._event_number += 1
        heapq.heappush(self._events, (at_us, self._event_number, *event))

    def _send(self, sender, action):
        self.sent += 1
        if (sender, action.address) not in self.partitions and self.rng.random() >= self.loss:
            self._schedule(self.now_us + DELAY_US, "message", action.address, (sender, action.message))

    def _deliver(self, kind, name, content):
        member = self.members.get(name)
        if self.paused_until.get(name, 0) > self.now_us:
            self._schedule(self.paused_until[name], kind, name, content)
        elif member is None or (kind == "tick" and content is not member):
            return
        elif kind == "tick":
            self.handle(name, Tick())
            due_us = min(member.next_deadline_us(), self.now_us + CONFIG.probe_period_us)
            self._schedule(max(self.now_us + MS, due_us), "tick", name, member)
        else:
            self.handle(name, MessageReceived(*content))
