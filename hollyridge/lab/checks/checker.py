"""The five rules, checked from recordings of what passed on the sockets; the assigner's own word is not heard.

Rule 5 can be seen from outside only in part: messages to a proxy are counted exactly; of the waiting lines it is
known that all lines of one decision (its number is the message id) waited when its first message left, and that
lines can't come faster than the stated pace.
"""

from __future__ import annotations

import bisect
from collections import defaultdict, deque
from collections.abc import Iterable
from typing import NamedTuple

from hollyridge.chp import codec as clone
from hollyridge.chp.proxy_replicas import ProxyReplicas
from hollyridge.lab.reports.record import frame_of, parts_of
from hollyridge.membership.fencing import FencingChecker
from hollyridge.registration.members import figure, read_label
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.client import HeldWeights

SECOND = 1_000_000


class Verdict(NamedTuple):
    """`nearest` is how much of the limit was used at the worst moment (over 1: broken)."""

    rule: int
    kept: bool
    nearest: float
    where: str


class Figures(NamedTuple):
    """The rules' figures, times in microseconds."""

    bare: int
    grace: int
    warm_up: int
    fall: int
    fall_multiple: float
    most_waiting: float
    messages_most: int
    messages_over: int
    lines_per_s: float
    head: float
    repeats: tuple[str, ...]  # by method


class Told(NamedTuple):
    at: int
    state: str  # ready, draining, gone
    run: str
    started: int


def name_of(member: codec.Member) -> str:
    return f"{member.host}:{member.port}"


class Span(NamedTuple):
    """From when till when a proxy was joined to which assigner."""

    since: int
    till: int
    assigner: int


class Seen(NamedTuple):
    """`table` is the subtree where the protocol tells it; `version` the decision's number."""

    at: int
    proxy: str
    group: str
    table: str
    version: int
    lines: dict[str, float]


class Follower(FencingChecker):
    """Does not know the numbers of a proxy's questions, only that they grow."""

    def accepts(self, fencing_token: int) -> bool:
        if fencing_token < self.accepted_token:
            return False
        self.accepted_token = fencing_token
        return True


class Listener:
    """What one proxy of the pub-sub front holds, from what was recorded of its messages."""

    def __init__(self, uid: str, names: list[str]) -> None:
        self.client, self.stream = ProxyReplicas(uid, names, Follower()), 0
        self.joined_in = 0

    def take(self, stream: int, parts: list[bytes]) -> tuple[bool, int, int, bool]:
        """Whether it joined just now, lines that came whole, their version, whether its tables changed."""
        if stream != self.stream:
            self.stream = stream
            for replica in self.client.replicas.values():
                replica.begin()
        try:
            message = clone.decode(parts)
            before = {subtree: replica.head.seq for subtree, replica in self.client.replicas.items()}
            _, _, changed = self.client.take(message)
        except clone.ChpError:
            return False, 0, 0, False
        subtree = getattr(message, "subtree", "") or clone.subtree_of(getattr(message, "key", ""))
        replica, lines, version = self.client.replicas.get(subtree), 0, 0
        if replica is not None and replica.head.seq != before.get(subtree, 0):
            version = replica.head.version
            lines = 1 + (replica.head.total if isinstance(message, clone.Kthxbai) else replica.head.count)
        home = isinstance(message, clone.Kthxbai) and subtree == self.client.home
        joined = (
            home and self.joined_in != stream and self.client.replicas[subtree].synced and not self.client.redirect()
        )
        if joined:
            self.joined_in = stream
        return joined, lines, version, changed


class Evidence:
    """Recordings sorted out: what each proxy held when, who was joined when, what the assigner was told when."""

    def __init__(self, rows: Iterable[dict], tables: bool = False) -> None:
        """With `tables`, every table that a proxy began to hold is kept."""
        self.rows, self.keep = list(rows), tables
        self.told: dict[int, dict[str, list[Told]]] = defaultdict(lambda: defaultdict(list))  # by assigner and task
        self.joined: dict[str, list[Span]] = defaultdict(list)
        self.goes_to: dict[str, int] = defaultdict(int)  # the assigner of its stream
        self.empty: dict[tuple[str, str], list[list[int]]] = defaultdict(list)
        self.messages: dict[str, list[tuple[int, int, int]]] = defaultdict(list)  # (time, number, lines)
        self.starts: dict[int, list[int]] = defaultdict(list)  # by assigner
        for row in self.rows:
            if row["k"] == "assigner" and row["up"]:
                self.starts[row.get("number", 0)].append(row["t"])
        self.zone: dict[str, str] = {}
        self.tables: list[Seen] = []  # every table that a proxy held, when it began to
        self.end = self.rows[-1]["t"] if self.rows else 0
        self.read()

    def read(self) -> None:
        asked: dict[tuple, tuple[int, codec.Message]] = {}
        held: dict[str, HeldWeights] = defaultdict(HeldWeights)
        held_at: dict[str, int] = {}
        groups: dict[str, list[str]] = {}
        clones: dict[str, Listener] = {}
        for row in self.rows:
            kind = row["k"]
            if kind == "standing":
                self.zone[row["proxy"]], groups[row["proxy"]] = row["zone"], row["groups"]
                if row["front"] == "clone":
                    groups[row["proxy"]] = row["names"]
                    clones[row["proxy"]] = Listener(row["proxy"], row["names"])
            elif kind == "said":
                number, message = codec.decode(frame_of(row))
                asked[row["who"], row["stream"], number] = row["t"], message
            elif kind == "stream" and row["up"]:
                self.goes_to[row["who"]] = row.get("assigner", 0)
            elif kind == "stream":
                spans = self.joined.get(row["who"])
                if spans and spans[-1].till < 0:
                    spans[-1] = spans[-1]._replace(till=row["t"])
                for group in groups.get(row["who"], ()):
                    gaps = self.empty.get((row["who"], group))
                    if gaps and gaps[-1][1] < 0:
                        gaps[-1][1] = row["t"]
            elif kind == "told":
                self.subscribed(row, clones, groups)
            elif kind == "heard":
                number, message = codec.decode(frame_of(row))
                if row["who"].startswith("agent"):
                    request = asked.pop((row["who"], row["stream"], number), None)
                    if request and message.code in (codec.Code.OK, codec.Code.ALREADY_REGISTERED):
                        self.learn(self.told[int(row["who"].partition("-")[2] or 0)], *request)
                    continue
                who = row["who"]
                question = asked.get((who, row["stream"], number), (0, None))[1]
                if isinstance(question, codec.Register) and ownership_extension.read_request(
                    question.groups[0].group.name
                ):
                    continue  # it has said its number, and is not joined yet
                if isinstance(message, codec.RegisterReply) and message.code == 0:
                    self.joined[who].append(Span(row["t"], -1, self.goes_to[who]))
                    for group in groups.get(who, ()):  # what it holds from an earlier stream may be nothing
                        if group in held[who].tables and not held[who].lines(group):
                            self.gap(who, group, True, row["t"])
                elif isinstance(message, (codec.SendWeights, codec.GetWeightsReply)):
                    if held_at.get(who) != row["stream"]:
                        held_at[who] = row["stream"]
                        held[who].new_stream()
                    held[who].take(message.groups, isinstance(message, codec.GetWeightsReply))
                    lines = sum(len(g.weights) for g in message.groups)
                    self.messages[who].append((row["t"], number, lines))
                    for group, _ in message.groups if self.keep else ():
                        self.tables.append(
                            Seen(
                                row["t"],
                                who,
                                group.name,
                                "",
                                number,
                                {name_of(m): float(e.weight) for m, e in held[who].lines(group.name).items()},
                            )
                        )
                    for group in held[who].fresh:
                        self.gap(who, group, not held[who].lines(group), row["t"])
        for gaps in self.empty.values():
            for gap in gaps:
                gap[1] = gap[1] if gap[1] >= 0 else self.end
        for who, spans in self.joined.items():
            self.joined[who] = [span if span.till >= 0 else span._replace(till=self.end) for span in spans]

    def gap(self, who: str, group: str, bare: bool, at: int) -> None:
        gaps = self.empty[who, group]
        if bare and (not gaps or gaps[-1][1] >= 0):
            gaps.append([at, -1])
        elif not bare and gaps and gaps[-1][1] < 0:
            gaps[-1][1] = at

    def subscribed(self, row: dict, clones: dict, groups: dict[str, list[str]]) -> None:
        """A message of the pub-sub front, read with the client library's own rules of what is whole."""
        who = row["who"]
        listener = clones[who]
        joined, lines, version, changed = listener.take(row["stream"], parts_of(row))
        if joined:
            self.joined[who].append(Span(row["t"], -1, self.goes_to[who]))
            for method, some in listener.client.tables.lines.items():
                self.gap(who, method, not some, row["t"])
        if lines:
            self.messages[who].append((row["t"], version, lines))
        if changed:
            tables = listener.client.tables
            for method, some in tables.lines.items():
                if self.keep:
                    self.tables.append(
                        Seen(
                            row["t"],
                            who,
                            method,
                            listener.client.bound_tables().get(method, "?"),
                            tables.versions[method],
                            some,
                        )
                    )
                self.gap(who, method, not some, row["t"])

    @staticmethod
    def learn(told: dict[str, list[Told]], at: int, message: codec.Message) -> None:
        if isinstance(message, codec.Register):
            for _, members in message.groups:
                for member in members:
                    words = read_label(member.label)
                    up = figure(words, "up", 0, 1e9) or 0.0
                    told[name_of(member)].append(Told(at, "ready", words.get("run", ""), at - round(up * 1e6)))
        elif isinstance(message, codec.SetMembers):
            for _, states in message.groups:
                for state in states:
                    past = told[name_of(state.member)]
                    last = past[-1] if past else Told(at, "ready", "", at)
                    past.append(last._replace(at=at, state="draining" if state.quiesce else "ready"))
        elif isinstance(message, codec.Deregister):
            for _, members in message.groups:
                for member in members:
                    told[name_of(member)].append(Told(at, "gone", "", at))

    def joined_at(self, proxy: str, at: int) -> Span | None:
        """The span in which this proxy is joined at that time."""
        for span in reversed(self.joined.get(proxy, [])):
            if span.since <= at:
                return span if at <= span.till else None
        return None

    def run_of(self, proxy: str, at: int) -> tuple[int, int]:
        """The assigner of the last stream that this proxy had joined by then, and when that run of it began."""
        past = [span for span in self.joined.get(proxy, []) if span.since <= at]
        number = past[-1].assigner if past else 0
        return number, self.began(number, at)

    def began(self, assigner: int, at: int) -> int:
        """When the run of an assigner that is on at that time began; -1 before the first."""
        starts = self.starts[assigner]
        index = bisect.bisect_right(starts, at)
        return starts[index - 1] if index else -1


def check(seen: Evidence, figures: Figures) -> list[Verdict]:
    """One verdict a rule."""
    return [rule(seen, figures) for rule in (bare, twice, drains, cold, queue)]


def verdict(rule: int, nearest: float, where: str) -> Verdict:
    return Verdict(rule, nearest <= 1.0, round(nearest, 4), where)


def bare(seen: Evidence, figures: Figures) -> Verdict:
    """No joined proxy without a line while a warm ready task is listed."""
    warm = {assigner: warm_spans(seen, figures, tasks.values()) for assigner, tasks in seen.told.items()}
    worst, where = 0, "no proxy was ever without a line"
    for (proxy, group), gaps in seen.empty.items():
        for begin, end in gaps:
            joined = seen.joined_at(proxy, begin)
            for first, last in warm.get(joined.assigner, ()) if joined else ():
                lasted = min(end, last) - max(begin, first)
                if lasted > worst:
                    worst, where = lasted, f"{proxy} without a line for {group} for {lasted / 1e6:.2f} s"
    return verdict(1, worst / figures.bare, where)


def warm_spans(seen: Evidence, figures: Figures, pasts: Iterable[list[Told]]) -> list[list[int]]:
    """When some task was listed ready and warm."""
    spans = []
    for past in pasts:
        for told, after in zip(past, [*past[1:], None]):
            if told.state == "ready":
                begin = max(told.at, told.started + figures.warm_up)
                end = after.at if after else seen.end
                if begin < end:
                    spans.append((begin, end))
    spans.sort()
    merged: list[list[int]] = []
    for begin, end in spans:
        if merged and begin <= merged[-1][1]:
            merged[-1][1] = max(merged[-1][1], end)
        else:
            merged.append([begin, end])
    return merged


def twice(seen: Evidence, figures: Figures) -> Verdict:
    """No effect twice."""
    effects: dict[str, list[dict]] = defaultdict(list)
    for row in seen.rows:
        if row["k"] == "effect":
            effects[row["token"]].append(row)
    again = [rows for rows in effects.values() if len(rows) > 1]
    if again:
        rows = again[0]
        return Verdict(
            2,
            False,
            float(len(rows)),
            f"{rows[0]['token']} took effect at {' and '.join(r['task'] for r in rows)} ({len(again)} such tokens)",
        )
    return Verdict(2, True, 0.0, f"{len(effects)} effects, none twice")


def drains(seen: Evidence, figures: Figures) -> Verdict:
    """Drained or gone tasks get nothing after the grace."""
    worst, where = 0.0, "nothing was sent to a closed task"
    tries: dict[str, list[dict]] = defaultdict(list)
    for row in seen.rows:
        if row["k"] == "try":
            tries[row["task"]].append(row)
    for assigner, task, past in ((k, task, past) for k, tasks in seen.told.items() for task, past in tasks.items()):
        for at, (told, after) in enumerate(zip(past, [*past[1:], None])):
            if told.state == "ready":
                continue
            closed = told.at  # since the first news of it to this assigner
            for before in reversed(past[:at]):
                if before.state == "ready" or before.at < seen.began(assigner, told.at):
                    break
                closed = before.at
            until = after.at if after else seen.end
            for row in tries[task]:
                if not told.at < row["t"] < until:
                    continue
                joined = seen.joined_at(row["proxy"], row["t"])
                if (
                    joined is None
                    or joined.assigner != assigner
                    or seen.began(assigner, row["t"]) != seen.began(assigner, told.at)
                ):
                    continue
                used = (row["t"] - max(closed, joined.since)) / figures.grace
                if used > worst:
                    worst = used
                    where = (
                        f"{row['proxy']} sent to {task} {(row['t'] - max(closed, joined.since)) / 1e6:.2f} s after"
                        f" it was told {told.state}"
                    )
    return verdict(3, worst, where)


def cold(seen: Evidence, figures: Figures) -> Verdict:
    """No cold task is pushed over by proxies that knew, or whose assigner had known long enough."""
    worst, where, starts = 0.0, "no cold task was near its limit", {}
    recent: dict[tuple, deque] = defaultdict(deque)
    for row in seen.rows:
        if row["k"] == "task_up" and row["cold"]:
            starts[row["task"], row["run"]] = row
        elif row["k"] == "rpc" and (row["task"], row["run"]) in starts:
            key = row["task"], row["run"]
            up = starts[key]
            age = row["t"] - up["born"]
            if age >= up["cold_us"]:
                continue
            window = recent[key]
            window.append((row["t"], row["work"], row["proxy"]))
            while window[0][0] <= row["t"] - figures.fall:
                window.popleft()
            part = up["cold_from"] + (1 - up["cold_from"]) * age / up["cold_us"]
            allowed = figures.fall_multiple * up["cores"] * up["speed"] * part * figures.fall
            whole = sum(work for _, work, _ in window)
            known = {
                k: t.at
                for k, tasks in seen.told.items()
                for t in reversed(tasks.get(row["task"], ()))
                if t.run == row["run"]
            }
            if not known:
                continue
            aware = sum(work for at, work, proxy in window if knew(seen, figures, proxy, known, at))
            used = whole / allowed
            if aware * 3 < whole * 2:
                continue  # two thirds of it came from such as could not know
            if used > worst:
                worst, where = used, f"{row['task']} at {used:.0%} of what it falls at, {age / 1e6:.1f} s old"
    fell = sum(row["k"] == "fell" for row in seen.rows)
    return verdict(4, worst, where + (f"; {fell} fell over" if fell else ""))


def knew(seen: Evidence, figures: Figures, proxy: str, known: dict[int, int], at: int) -> bool:
    """Whether the proxy's last message by then was sent knowing of a start, which was told to assigners when `known`
    has it, or the assigner that it is joined to has known for the grace."""
    joined = seen.joined_at(proxy, at)
    if joined is not None and joined.assigner in known and at >= known[joined.assigner] + figures.grace:
        return True
    messages = seen.messages.get(proxy, [])
    index = bisect.bisect_right(messages, (at, 1 << 62, 0)) - 1
    return index >= 0 and messages[index][0] >= known.get(seen.run_of(proxy, messages[index][0])[0], 1 << 62)


def queue(seen: Evidence, figures: Figures) -> Verdict:
    """Messages per proxy, lines of one decision, and the pace of all lines, within limits."""
    worst, where = 0.0, "no message was sent"

    def note(used: float, what: str) -> None:
        nonlocal worst, where
        if used > worst:
            worst, where = used, what

    decided: dict[tuple, float] = defaultdict(float)
    every: dict[int, list] = defaultdict(list)
    for proxy, messages in seen.messages.items():
        window: deque[int] = deque()
        for at, number, lines in messages:
            joined, run = seen.joined_at(proxy, at), seen.run_of(proxy, at)
            since = max(joined.since if joined else -1, at - figures.messages_over)
            window.append(at)
            while window[0] < since:
                window.popleft()
            if figures.messages_most:
                note(len(window) / figures.messages_most, f"{proxy} got {len(window)} messages in the stated span")
            decided[run, number] += lines + figures.head
            every[run[0]].append((at, lines + figures.head))
    for (_, number), lines in decided.items():
        note(lines / figures.most_waiting, f"{lines:.0f} lines of decision {number} waited at once")
    span = 2 * SECOND
    for one in every.values():
        one.sort()
        largest, window, total = max(lines for _, lines in one), deque(), 0.0
        for at, lines in one:
            window.append((at, lines))
            total += lines
            while window[0][0] <= at - span:
                total -= window.popleft()[1]
            allowed = 1.25 * figures.lines_per_s * span / SECOND + largest
            note(total / allowed, f"{total:.0f} lines within two seconds")
    return verdict(5, worst, where)
