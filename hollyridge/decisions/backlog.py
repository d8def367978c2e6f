"""The backlog: what still waits in the channel to the proxies, and what may be sent now."""

from __future__ import annotations

from collections import deque

from hollyridge.interface import Ack, AssignerConfig, Command, RequestAck

MICROSECONDS_PER_SECOND = 1e6
SOFT_LIMIT_DIVISOR = 2  # what can wait fills half of what may wait, and half of what leaves within the grace
SOFT_LIMIT_PERIODS = 2  # report periods of the channel's pace; what waits longer answers reports that are replaced
MAX_SILENCE = 4  # longest transit times and report periods without an acknowledgement until the channel counts as lost
LOST_PACE_DIVISOR = 8  # of the channel's pace, at which lines then count as delivered
HARD_LIMIT_FRACTION = 0.9  # of the lines that may wait, which urgent lines may fill
URGENT_MESSAGES_FRACTION = 0.95  # of the messages that a proxy may get, for what is urgent
USUAL_MESSAGES_FRACTION = 0.6  # the same, for what can wait
ACK_LINES = 1  # lines that the request for an acknowledgement costs in a message
MARKS = 65536  # marks are numbered round by 16 bits
UNLIMITED_LINES = 1 << 30  # nobody uses the table, so its lines cost nothing


class BacklogEstimator:
    """Counts lines as waiting until an acknowledgement proves that they left. No pace is believed in.

    Messages leave in order. So an acknowledgement from any proxy proves that all batches before its own have left; and
    as large a part of its own batch as the proxies that have acknowledged are of those it went to.

    Attributes:
        sent: Lines ever sent, overhead included.
        delivered: Lines proven to have left.
        soft_backlog_limit: Lines up to which what can wait may fill the channel: a removal behind them is in time.
        message_times_us: When each proxy was sent a message lately, where their number is limited.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.sent = 0.0
        self.delivered = 0.0
        self.advanced_at_us = 0
        self.acknowledged_at_us = 0
        self.soft_backlog_limit = self._soft_backlog_limit(config)
        self.mark = 0
        self.lines_before: dict[int, float] = {}  # lines sent before the batch of each mark
        self.new_messages = 0  # since the last mark
        self.marked_messages = 0  # of the last mark's batch
        self.acknowledged_by: set[int] = set()  # proxies that have acknowledged that batch
        self.message_times_us: dict[int, deque[int]] = {}
        self.batch = 0
        self.last_batch: dict[int, int] = {}  # the last batch with a message to each proxy

    def advance(self, now_us: int) -> None:
        """Lets time pass. Without any acknowledgement for long all that was sent to must be lost."""
        silence_us = now_us - self.acknowledged_at_us
        if silence_us > MAX_SILENCE * (self.config.max_transit_us + self.config.report_period_us):
            pace = self.config.lines_per_s / LOST_PACE_DIVISOR
            delivered = self.delivered + pace * (now_us - self.advanced_at_us) / MICROSECONDS_PER_SECOND
            self.delivered = min(self.sent, delivered)
        self.advanced_at_us = now_us

    def acknowledge(self, now_us: int, ack: Ack) -> None:
        """Counts what an acknowledgement proves."""
        before = self.lines_before.get(ack.mark, 0.0)
        self.delivered = max(self.delivered, before)
        self.acknowledged_at_us = now_us
        # Nothing later would prove the last batch, so its own acknowledgements count for their part of it.
        if ack.mark == self.mark and self.marked_messages:
            self.acknowledged_by.add(ack.proxy)
            part = min(1.0, len(self.acknowledged_by) / self.marked_messages)
            nothing_since = not self.new_messages
            self.delivered = max(self.delivered, before + (self.sent - before) * part * nothing_since)

    def limit_delivered(self, waiting_lines: float) -> None:
        """So much is known to wait: where a message was joined to an earlier one, its acknowledgement came early."""
        self.delivered = min(self.delivered, self.sent - waiting_lines)

    def waiting(self) -> float:
        """Lines that may still wait in the channel."""
        return self.sent - self.delivered

    def is_full(self, limits: int = 1) -> bool:
        """Whether what can wait has to be held, at this many times the soft limit."""
        return self.waiting() >= limits * self.soft_backlog_limit

    def messages_are_scarce(self, proxies: list[int]) -> bool:
        """Whether one of these proxies may be sent no more of what can wait."""
        limit = USUAL_MESSAGES_FRACTION * self.config.max_messages_per_proxy
        return limit > 0 and any(len(self.message_times_us.get(proxy, ())) + 1 > limit for proxy in proxies)

    def free_lines(self, now_us: int, proxies: list[int], urgent: bool) -> int:
        """Lines that may be sent to each of these proxies now."""
        if not proxies:
            return UNLIMITED_LINES
        if self.config.max_messages_per_proxy > 0 and not self._may_get_message(now_us, proxies, urgent):
            return 0
        waiting = self.waiting()
        each = (HARD_LIMIT_FRACTION * self.config.max_waiting_lines - waiting) / len(proxies)
        free = int(each - self.config.message_overhead_lines - ACK_LINES)
        if not urgent:
            free = min(free, int((self.soft_backlog_limit - waiting) / len(proxies)))
        return max(0, free)

    def reserve(self, now_us: int, proxies: list[int], lines: int) -> None:
        """Counts lines as sent to each of these proxies; all of a batch to one proxy are one message."""
        fresh = [proxy for proxy in proxies if lines and self.last_batch.get(proxy) != self.batch]
        overhead = (self.config.message_overhead_lines + ACK_LINES) * len(fresh)
        self.sent += lines * len(proxies) + overhead
        self.new_messages += len(fresh)
        self.last_batch.update(dict.fromkeys(fresh, self.batch))
        if self.config.max_messages_per_proxy > 0:
            for proxy in fresh:
                self.message_times_us.setdefault(proxy, deque()).append(now_us)

    def request_ack(self, sent_before: float) -> list[Command]:
        """Ends a batch, and asks for its acknowledgement if it holds anything.

        Args:
            sent_before: `sent` as it was before the batch.
        """
        self.batch += 1
        if self.sent <= sent_before:
            return []
        self.mark = (self.mark + 1) % MARKS
        self.lines_before[self.mark] = sent_before
        self.marked_messages = self.new_messages
        self.new_messages = 0
        self.acknowledged_by = set()
        return [RequestAck(self.mark, False)]

    @staticmethod
    def _soft_backlog_limit(config: AssignerConfig) -> float:
        in_time_us = max(config.drain_grace_us - config.max_transit_us, config.transit_us)
        return min(
            config.max_waiting_lines / SOFT_LIMIT_DIVISOR,
            config.lines_per_s * in_time_us / (SOFT_LIMIT_DIVISOR * MICROSECONDS_PER_SECOND),
            SOFT_LIMIT_PERIODS * config.report_period_us * config.lines_per_s / MICROSECONDS_PER_SECOND,
        )

    def _may_get_message(self, now_us: int, proxies: list[int], urgent: bool) -> bool:
        """Whether each of these proxies is below its limit of messages with one more, unless one is open already."""
        fraction = URGENT_MESSAGES_FRACTION if urgent else USUAL_MESSAGES_FRACTION
        limit = fraction * self.config.max_messages_per_proxy
        since_us = now_us - self.config.message_count_window_us - self.config.max_transit_us
        for proxy in proxies:
            times_us = self.message_times_us.setdefault(proxy, deque())
            while times_us and times_us[0] < since_us:
                times_us.popleft()
            if len(times_us) + (self.last_batch.get(proxy) != self.batch) > limit:
                return False
        return True
