"""Facts derived from recordings: which proxy was joined when, which tables it held, which tasks each assigner knew.

Only messages that passed on the sockets are used, never what an assigner reports about itself.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from hollyridge.lab.checks.chp_listener import ChpListener
from hollyridge.lab.reports.record import frame_of, parts_of
from hollyridge.registration.members import number_in_range, read_label
from hollyridge.sasp import codec, ownership_extension
from hollyridge.sasp.client import HeldWeights

OPEN = -1  # end of a span that has not ended
BEFORE_FIRST = -1  # start of a run at a time before the first recorded start of the assigner
MAX_UPTIME_S = 1e9
SUCCESS = 0  # code of a `RegisterReply` to an accepted registration


class TaskNews(NamedTuple):
    """A change of a task that an assigner has learned of.

    Attributes:
        at: Time of the assigner's answer, from which on it knows of the change, in microseconds.
        state: State of the task: ready, draining or gone.
        run: Identifier of the task's run.
        started: Time at which the task's run began, in microseconds.
    """

    at: int
    state: str
    run: str
    started: int


class JoinSpan(NamedTuple):
    """Span in which a proxy was joined to an assigner.

    Attributes:
        since: Start of the span, in microseconds.
        until: End of the span, in microseconds; `OPEN` if it has not ended.
        assigner: Number of the assigner.
    """

    since: int
    until: int
    assigner: int


class ReceivedUpdate(NamedTuple):
    """A message with lines of tables.

    Attributes:
        at: Time at which the proxy received it, in microseconds.
        number: Number of the decision that it belongs to.
        lines: Number of lines in it.
    """

    at: int
    number: int
    lines: int


class HeldTable(NamedTuple):
    """A table as a proxy holds it after an update.

    Attributes:
        at: Time of the update, in microseconds.
        proxy: The proxy.
        group: The SASP group or CHP method that the table is for.
        table: Subtree of the table; empty for SASP, which does not transmit it.
        version: Number of the decision.
        lines: Weight of each task, by address.
    """

    at: int
    proxy: str
    group: str
    table: str
    version: int
    lines: dict[str, float]


@dataclass
class EmptySpan:
    """Span in which a proxy held no line of a table.

    Attributes:
        begin: Start of the span, in microseconds.
        end: End of the span, in microseconds; `OPEN` if it has not ended.
    """

    begin: int
    end: int = OPEN


def address_of(member: codec.Member) -> str:
    """Return the address that identifies a member in tables and recordings."""
    return f"{member.host}:{member.port}"


class Evidence:
    """Facts derived from the records of a day.

    Attributes:
        rows: The records, sorted by time.
        end: Time of the last record, in microseconds.
        task_news: Changes of tasks, by assigner and task.
        joined: Spans in which each proxy was joined.
        empty: Spans without a line, by proxy and group.
        messages: Updates that each proxy received.
        tables: All tables that proxies held, if they are kept.
        starts: Times at which each assigner was started, in microseconds.
        zone: Zone of each proxy.
    """

    def __init__(self, rows: Iterable[dict], tables: bool = False) -> None:
        """Derive the facts from records, which must be sorted by time; with `tables`, keep all held tables."""
        self.rows = list(rows)
        self.end = self.rows[-1]["t"] if self.rows else 0
        self.task_news: dict[int, dict[str, list[TaskNews]]] = defaultdict(lambda: defaultdict(list))
        self.joined: dict[str, list[JoinSpan]] = defaultdict(list)
        self.empty: dict[tuple[str, str], list[EmptySpan]] = defaultdict(list)
        self.messages: dict[str, list[ReceivedUpdate]] = defaultdict(list)
        self.tables: list[HeldTable] = []
        self.starts: dict[int, list[int]] = defaultdict(list)
        self.zone: dict[str, str] = {}
        for row in self.rows:
            if row["k"] == "assigner" and row["up"]:
                self.starts[row.get("number", 0)].append(row["t"])
        _Reader(self, tables).read()

    def joined_at(self, proxy: str, at: int) -> JoinSpan | None:
        """Return the span in which a proxy is joined at that time; None if it is not joined."""
        for span in reversed(self.joined.get(proxy, [])):
            if span.since <= at:
                return span if at <= span.until else None
        return None

    def run_of(self, proxy: str, at: int) -> tuple[int, int]:
        """Return the assigner that a proxy had joined last by then, and the time at which that assigner's run began."""
        past = [span for span in self.joined.get(proxy, []) if span.since <= at]
        assigner = past[-1].assigner if past else 0
        return assigner, self.run_start(assigner, at)

    def run_start(self, assigner: int, at: int) -> int:
        """Return the start of the run of an assigner that is current at that time; `BEFORE_FIRST` before the first."""
        starts = self.starts[assigner]
        index = bisect.bisect_right(starts, at)
        return starts[index - 1] if index else BEFORE_FIRST


class _Reader:
    """Reader that fills an `Evidence` from its records, one by one.

    Attributes:
        evidence: The evidence to fill.
        keep_tables: Whether to keep all tables that proxies held.
        requests: Send time and message of each unanswered SASP request, by client, stream and message number.
        held_weights: Tables of each SASP proxy.
        held_stream: Stream that the tables of each SASP proxy belong to.
        groups: Groups or methods that each proxy's tables are for.
        listeners: State of each CHP proxy.
        assigner_of: Assigner that each client's stream leads to.
    """

    def __init__(self, evidence: Evidence, keep_tables: bool) -> None:
        self.evidence = evidence
        self.keep_tables = keep_tables
        self.requests: dict[tuple[str, int, int], tuple[int, codec.Message]] = {}
        self.held_weights: dict[str, HeldWeights] = defaultdict(HeldWeights)
        self.held_stream: dict[str, int] = {}
        self.groups: dict[str, list[str]] = {}
        self.listeners: dict[str, ChpListener] = {}
        self.assigner_of: dict[str, int] = defaultdict(int)

    def read(self) -> None:
        handlers = {
            "standing": self._on_proxy_start,
            "stream": self._on_stream,
            "said": self._on_sasp_sent,
            "heard": self._on_sasp_received,
            "told": self._on_chp_received,
        }
        for row in self.evidence.rows:
            handler = handlers.get(row["k"])
            if handler is not None:
                handler(row)
        self._close_spans()

    def _close_spans(self) -> None:
        """End the spans that are still open at the end of the recording."""
        end = self.evidence.end
        for spans in self.evidence.empty.values():
            for span in spans:
                span.end = span.end if span.end >= 0 else end
        for proxy, joined in self.evidence.joined.items():
            self.evidence.joined[proxy] = [span if span.until >= 0 else span._replace(until=end) for span in joined]

    def _on_proxy_start(self, row: dict) -> None:
        proxy = row["proxy"]
        self.evidence.zone[proxy] = row["zone"]
        self.groups[proxy] = row["groups"]
        if row["front"] == "clone":
            self.groups[proxy] = row["names"]
            self.listeners[proxy] = ChpListener(proxy, row["names"])

    def _on_stream(self, row: dict) -> None:
        client = row["who"]
        if row["up"]:
            self.assigner_of[client] = row.get("assigner", 0)
            return
        spans = self.evidence.joined.get(client)
        if spans and spans[-1].until < 0:
            spans[-1] = spans[-1]._replace(until=row["t"])
        for group in self.groups.get(client, ()):
            empty = self.evidence.empty.get((client, group))
            if empty and empty[-1].end < 0:
                empty[-1].end = row["t"]

    def _note_lines(self, proxy: str, group: str, is_empty: bool, at: int) -> None:
        """Record whether a proxy holds no line of a table from this time on."""
        spans = self.evidence.empty[proxy, group]
        if is_empty and (not spans or spans[-1].end >= 0):
            spans.append(EmptySpan(at))
        elif not is_empty and spans and spans[-1].end < 0:
            spans[-1].end = at

    def _note_joined(self, proxy: str, at: int) -> None:
        self.evidence.joined[proxy].append(JoinSpan(at, OPEN, self.assigner_of[proxy]))

    # SASP messages.

    def _on_sasp_sent(self, row: dict) -> None:
        number, message = codec.decode(frame_of(row))
        self.requests[row["who"], row["stream"], number] = row["t"], message

    def _on_sasp_received(self, row: dict) -> None:
        number, message = codec.decode(frame_of(row))
        key = row["who"], row["stream"], number
        if row["who"].startswith("agent"):
            self._on_agent_answer(key, message)
            return
        request = self.requests.get(key, (0, None))[1]
        if isinstance(request, codec.Register) and ownership_extension.read_request(request.groups[0].group.name):
            return  # only the ownership request, with the fencing token; the proxy is not joined yet
        if isinstance(message, codec.RegisterReply) and message.code == SUCCESS:
            self._on_registered(row["who"], row["t"])
        elif isinstance(message, (codec.SendWeights, codec.GetWeightsReply)):
            self._on_weights(row, number, message)

    def _on_registered(self, proxy: str, at: int) -> None:
        self._note_joined(proxy, at)
        for group in self.groups.get(proxy, ()):  # its table from an earlier stream may be empty
            if group in self.held_weights[proxy].tables and not self.held_weights[proxy].lines(group):
                self._note_lines(proxy, group, True, at)

    def _on_weights(self, row: dict, number: int, message: codec.SendWeights | codec.GetWeightsReply) -> None:
        proxy, at = row["who"], row["t"]
        held = self.held_weights[proxy]
        if self.held_stream.get(proxy) != row["stream"]:
            self.held_stream[proxy] = row["stream"]
            held.new_stream()
        held.handle_message(message.groups, isinstance(message, codec.GetWeightsReply))
        lines = sum(len(group.weights) for group in message.groups)
        self.evidence.messages[proxy].append(ReceivedUpdate(at, number, lines))
        for group, _ in message.groups if self.keep_tables else ():
            weights = {address_of(member): float(entry.weight) for member, entry in held.lines(group.name).items()}
            self.evidence.tables.append(HeldTable(at, proxy, group.name, "", number, weights))
        for group in held.received_groups:
            self._note_lines(proxy, group, not held.lines(group), at)

    def _on_agent_answer(self, key: tuple[str, int, int], answer: codec.Message) -> None:
        """Record what an assigner learns from an agent's request, unless it rejects the request.

        Args:
            key: Client, stream and message number; the name of an agent ends in the number of its assigner.
            answer: The assigner's answer.
        """
        request = self.requests.pop(key, None)
        if not request or answer.code not in (codec.Code.OK, codec.Code.ALREADY_REGISTERED):
            return
        at, message = request
        news = self.evidence.task_news[int(key[0].partition("-")[2] or 0)]
        if isinstance(message, codec.SetMembers):
            _learn_states(news, at, message)
        elif isinstance(message, (codec.Register, codec.Deregister)):
            for _, members in message.groups:
                for member in members:
                    gone = TaskNews(at, "gone", "", at)
                    registers = isinstance(message, codec.Register)
                    news[address_of(member)].append(_started(at, member) if registers else gone)

    # CHP messages.

    def _on_chp_received(self, row: dict) -> None:
        """Apply a message; the client library decides which updates are complete."""
        proxy, at = row["who"], row["t"]
        listener = self.listeners[proxy]
        received = listener.apply(row["stream"], parts_of(row))
        tables = listener.client.tables
        if received.joined:
            self._note_joined(proxy, at)
            for method, lines in tables.lines.items():
                self._note_lines(proxy, method, not lines, at)
        if received.lines:
            self.evidence.messages[proxy].append(ReceivedUpdate(at, received.version, received.lines))
        if received.changed:
            for method, lines in tables.lines.items():
                if self.keep_tables:
                    subtree, version = listener.client.bound_tables().get(method, "?"), tables.versions[method]
                    self.evidence.tables.append(HeldTable(at, proxy, method, subtree, version, lines))
                self._note_lines(proxy, method, not lines, at)


def _started(at: int, member: codec.Member) -> TaskNews:
    """Return what an assigner learns from a member's registration and its label."""
    fields = read_label(member.label)
    up_s = number_in_range(fields, "up", 0, MAX_UPTIME_S) or 0.0
    return TaskNews(at, "ready", fields.get("run", ""), at - round(up_s * 1e6))


def _learn_states(news: dict[str, list[TaskNews]], at: int, message: codec.SetMembers) -> None:
    """Add what an assigner learns when members are quiesced or resumed."""
    for _, states in message.groups:
        for state in states:
            history = news[address_of(state.member)]
            last = history[-1] if history else TaskNews(at, "ready", "", at)
            history.append(last._replace(at=at, state="draining" if state.quiesce else "ready"))
