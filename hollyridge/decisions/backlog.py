"""The backlog: the lines that still wait in the channel to the proxies, and how many more may be sent now."""

from __future__ import annotations

from collections import deque

from hollyridge.interface import Ack, AssignerConfig, Command, RequestAck

MICROSECONDS_PER_SECOND = 1e6
SOFT_LIMIT_DIVISOR = 2  # non-urgent lines may fill half of the maximum backlog, and half of what leaves in the grace
SOFT_LIMIT_PERIODS = 2  # report periods at the channel's pace; lines that wait longer answer outdated reports
MAX_ACK_GAP = 4  # multiple of (longest transit + report period) without an ack after which the channel counts as lost
LOST_CHANNEL_PACE_DIVISOR = 8  # lines on a lost channel count as delivered at 1/8 of the channel's pace
HARD_LIMIT_FRACTION = 0.9  # part of the maximum backlog that urgent lines may fill
URGENT_MESSAGES_FRACTION = 0.95  # part of a proxy's message limit that is open to urgent changes
SPACING_DIVISOR = 2  # urgent messages wait for at most half of the grace that the longest transit leaves
NONURGENT_MESSAGES_FRACTION = 0.6  # part of a proxy's message limit that is open to other changes
ACK_LINES = 1  # lines that the request for an acknowledgement costs in a message
MARK_COUNT = 65536  # marks are 16-bit numbers that wrap around
UNLIMITED_LINES = 1 << 30  # lines of a table that no proxy uses cost nothing


class BacklogEstimator:
    """Estimator of the lines that wait in the channel, from acknowledgements alone.

    Lines count as waiting until an acknowledgement proves that they have left; the nominal pace of the channel is not
    relied on. Messages leave in order, so an acknowledgement from any proxy proves that all batches before its own
    have left. Of its own batch it proves the part that corresponds to the recipients that have acknowledged it.

    Attributes:
        sent: Total lines sent, overhead included.
        delivered: Lines proven to have left.
        soft_backlog_limit: Maximum backlog for non-urgent lines; a removal behind such a backlog arrives in time.
        max_spacing_us: Longest time for which urgent lines may wait for the next message.
        unspaced_messages: Number of messages to a proxy that may follow each other at once.
        message_interval_us: Interval between further messages to a proxy.
        message_times_us: Times of recent messages by proxy; kept only where their number is limited.
    """

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.sent = 0.0
        self.delivered = 0.0
        self.advanced_at_us = 0
        self.acknowledged_at_us = 0
        self.soft_backlog_limit = self._soft_backlog_limit(config)
        self.mark = 0
        self.sent_before_mark: dict[int, float] = {}  # value of `sent` before the batch of each mark
        self.new_messages = 0  # messages since the last mark
        self.marked_messages = 0  # messages of the last mark's batch
        self.acknowledged_by: set[int] = set()  # proxies that have acknowledged that batch
        self.message_times_us: dict[int, deque[int]] = {}
        self._message_window_us = config.message_count_window_us + config.max_transit_us
        self.max_spacing_us = max(0, config.drain_grace_us - config.max_transit_us) // SPACING_DIVISOR
        self.unspaced_messages, self.message_interval_us = self._spacing()
        self.batch = 0
        self.last_batch: dict[int, int] = {}  # number of the last batch with a message, by proxy

    def advance(self, now_us: int) -> None:
        """Advance to this time; after a long time without any acknowledgement, count lines as delivered.

        In that case all proxies that were sent lines must be lost.
        """
        ack_gap_us = now_us - self.acknowledged_at_us
        if ack_gap_us > MAX_ACK_GAP * (self.config.max_transit_us + self.config.report_period_us):
            pace = self.config.lines_per_s / LOST_CHANNEL_PACE_DIVISOR
            delivered = self.delivered + pace * (now_us - self.advanced_at_us) / MICROSECONDS_PER_SECOND
            self.delivered = min(self.sent, delivered)
        self.advanced_at_us = now_us

    def acknowledge(self, now_us: int, ack: Ack) -> None:
        """Count the lines that an acknowledgement proves to be delivered."""
        before = self.sent_before_mark.get(ack.mark, 0.0)
        self.delivered = max(self.delivered, before)
        self.acknowledged_at_us = now_us
        # No later batch proves delivery of the last one, so each of its own acknowledgements proves a part of it.
        if ack.mark == self.mark and self.marked_messages:
            self.acknowledged_by.add(ack.proxy)
            acknowledged_part = min(1.0, len(self.acknowledged_by) / self.marked_messages)
            nothing_sent_since = not self.new_messages
            self.delivered = max(self.delivered, before + (self.sent - before) * acknowledged_part * nothing_sent_since)

    def limit_delivered(self, waiting_lines: float) -> None:
        """Reduce `delivered` so that at least `waiting_lines` count as waiting.

        The acknowledgement of a message that was merged into an earlier one arrives early and so proves too much.
        """
        self.delivered = min(self.delivered, self.sent - waiting_lines)

    def waiting(self) -> float:
        """Return the number of lines that may still wait in the channel."""
        return self.sent - self.delivered

    def is_full(self, soft_limits: int = 1) -> bool:
        """Return whether the backlog has reached this many soft limits, so that non-urgent lines are held back."""
        return self.waiting() >= soft_limits * self.soft_backlog_limit

    def next_urgent_message_us(self, now_us: int, proxies: list[int]) -> int:
        """Return the time until which an urgent message to all of these proxies should wait, if it can.

        A number of messages may follow each other at once, the others come at intervals. Together they stay within the
        limit, which would otherwise be used up so that no table could be changed until the oldest ones expire.
        """
        if self.config.max_messages_per_proxy <= 0:
            return now_us
        return max((self._next_message_us(now_us, proxy) for proxy in proxies), default=now_us)

    def free_lines(self, now_us: int, proxies: list[int], urgent: bool, beside_urgent: bool = False) -> int:
        """Return the number of lines that may be sent to each of these proxies now.

        Args:
            now_us: The time, in microseconds.
            proxies: The recipients.
            urgent: Whether the lines are urgent.
            beside_urgent: Whether each recipient gets urgent lines anyway, so that the others need no further message.
        """
        if not proxies:
            return UNLIMITED_LINES
        if self.config.max_messages_per_proxy > 0 and not self._may_send_message(
            now_us, proxies, urgent or beside_urgent
        ):
            return 0
        waiting = self.waiting()
        free_per_proxy = (HARD_LIMIT_FRACTION * self.config.max_waiting_lines - waiting) / len(proxies)
        free = int(free_per_proxy - self.config.message_overhead_lines - ACK_LINES)
        if not urgent:
            free = min(free, int((self.soft_backlog_limit - waiting) / len(proxies)))
        return max(0, free)

    def reserve(self, now_us: int, proxies: list[int], lines: int) -> None:
        """Count lines as sent to each of these proxies; all lines of a batch to one proxy form one message."""
        new_recipients = [proxy for proxy in proxies if lines and self.last_batch.get(proxy) != self.batch]
        overhead = (self.config.message_overhead_lines + ACK_LINES) * len(new_recipients)
        self.sent += lines * len(proxies) + overhead
        self.new_messages += len(new_recipients)
        self.last_batch.update(dict.fromkeys(new_recipients, self.batch))
        if self.config.max_messages_per_proxy > 0:
            for proxy in new_recipients:
                self.message_times_us.setdefault(proxy, deque()).append(now_us)

    def request_ack(self, sent_before: float) -> list[Command]:
        """End a batch and return the request for its acknowledgement, or no command if the batch is empty.

        Args:
            sent_before: Value of `sent` before the batch.
        """
        self.batch += 1
        if self.sent <= sent_before:
            return []
        self.mark = (self.mark + 1) % MARK_COUNT
        self.sent_before_mark[self.mark] = sent_before
        self.marked_messages = self.new_messages
        self.new_messages = 0
        self.acknowledged_by = set()
        return [RequestAck(self.mark, False)]

    @staticmethod
    def _soft_backlog_limit(config: AssignerConfig) -> float:
        usable_grace_us = max(config.drain_grace_us - config.max_transit_us, config.transit_us)
        return min(
            config.max_waiting_lines / SOFT_LIMIT_DIVISOR,
            config.lines_per_s * usable_grace_us / (SOFT_LIMIT_DIVISOR * MICROSECONDS_PER_SECOND),
            SOFT_LIMIT_PERIODS * config.report_period_us * config.lines_per_s / MICROSECONDS_PER_SECOND,
        )

    def _spacing(self) -> tuple[int, int]:
        """Return how many messages need no interval, as many as possible, and the interval between further ones."""
        limit = URGENT_MESSAGES_FRACTION * self.config.max_messages_per_proxy
        if limit <= 0 or self.max_spacing_us <= 0:
            return 0, 0
        mean_interval_us = self._message_window_us / limit
        unspaced_fraction = min(NONURGENT_MESSAGES_FRACTION, max(0.0, 1 - mean_interval_us / self.max_spacing_us))
        interval_us = min(self.max_spacing_us, mean_interval_us / (1 - unspaced_fraction))
        return int(unspaced_fraction * limit), round(interval_us)

    def _may_send_message(self, now_us: int, proxies: list[int], urgent: bool) -> bool:
        """Return whether each of these proxies stays within its message limit; non-urgent messages keep the interval.

        A proxy that already has a message in the current batch needs no further one.
        """
        fraction = URGENT_MESSAGES_FRACTION if urgent else NONURGENT_MESSAGES_FRACTION
        limit = fraction * self.config.max_messages_per_proxy
        for proxy in proxies:
            times_us = self._recent_messages(now_us, proxy)
            needs_message = self.last_batch.get(proxy) != self.batch
            if len(times_us) + needs_message > limit:
                return False
            if needs_message and not urgent and self._next_message_us(now_us, proxy) > now_us:
                return False
        return True

    def _next_message_us(self, now_us: int, proxy: int) -> int:
        """Return the time at which the next message to a proxy keeps the interval."""
        times_us = self._recent_messages(now_us, proxy)
        if not times_us or len(times_us) < self.unspaced_messages:
            return now_us
        return max(now_us, times_us[-1] + self.message_interval_us)

    def _recent_messages(self, now_us: int, proxy: int) -> deque[int]:
        """Return the times of a proxy's messages that still count, oldest first."""
        times_us = self.message_times_us.setdefault(proxy, deque())
        while times_us and times_us[0] < now_us - self._message_window_us:
            times_us.popleft()
        return times_us
