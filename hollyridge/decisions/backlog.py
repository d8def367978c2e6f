"""What may be sent now, and what still waits in the channel."""

from __future__ import annotations

from collections import deque

from hollyridge.interface import Ack, AssignerConfig, Command, RequestAck


class BacklogEstimator:
    """What may leave, within the lines that may wait and the messages a proxy may get. Messages leave in
    order: a receipt from any proxy proves that all sent before has left, and its own message: so many of a
    reply's proxies as have told of it are so much of it that has left. No pace is believed in."""

    def __init__(self, config: AssignerConfig) -> None:
        self.config = config
        self.sent = self.left = 0.0  # lines ever sent, and those proven to have left
        self.at = self.heard = self.mark = 0
        # So far may what can wait fill the channel: a drain behind it is in time, and it answers news of now.
        in_time = config.lines_per_s * max(config.drain_grace_us - config.max_transit_us, config.transit_us) / 2e6
        self.usual = min(config.max_waiting_lines / 2, in_time, 2 * config.report_period_us * config.lines_per_s / 1e6)
        self.marks: dict[int, float] = {}  # lines sent before each mark's reply
        self.messages = self.own = 0  # booked since the last mark, and of the last mark's reply
        self.told: set[int] = set()  # who has told of that reply
        self.written: dict[int, deque[int]] = {}  # when each proxy was written to
        self.reply, self.last = 0, dict[int, int]()  # number of this reply, and of the last to each proxy

    def drain(self, now: int) -> None:
        if now - self.heard > 4 * (
            self.config.max_transit_us + self.config.report_period_us
        ):  # all written to must be lost
            self.left = min(self.sent, self.left + self.config.lines_per_s / 8 * (now - self.at) / 1e6)
        self.at = now

    def receipt(self, now: int, receipt: Ack) -> None:
        before = self.marks.get(receipt.mark, 0.0)
        self.left, self.heard = max(self.left, before), now
        if receipt.mark == self.mark and self.own:  # else nothing would prove the last reply
            self.told.add(receipt.proxy)
            part = min(1.0, len(self.told) / self.own)
            self.left = max(self.left, before + (self.sent - before) * part * (not self.messages))

    def waits(self, lines: float) -> None:
        """So much is known to wait: a receipt of what was joined to an earlier message proves no more."""
        self.left = min(self.left, self.sent - lines)

    def held(self, times: int = 1) -> bool:  # what can wait is held while half the backlog waits
        return self.sent - self.left >= times * self.usual

    def scarce(self, proxies: list[int]) -> bool:  # what can wait may be told to one of these no more
        most = 0.6 * self.config.max_messages_per_proxy
        return most > 0 and any(len(self.written.get(proxy, ())) + 1 > most for proxy in proxies)

    def spare(self, now: int, proxies: list[int], urgent: bool) -> int:
        if not proxies:
            return 1 << 30
        since = now - self.config.message_count_window_us - self.config.max_transit_us
        for proxy in proxies if self.config.max_messages_per_proxy > 0 else ():
            times = self.written.setdefault(proxy, deque())
            while times and times[0] < since:
                times.popleft()
            part = 0.95 if urgent else 0.6
            if len(times) + (self.last.get(proxy) != self.reply) > part * self.config.max_messages_per_proxy:
                return 0
        waits = self.sent - self.left
        free = int(
            (0.9 * self.config.max_waiting_lines - waits) / len(proxies) - self.config.message_overhead_lines - 1
        )
        return max(0, free if urgent else min(free, int((self.usual - waits) / len(proxies))))

    def book(self, now: int, proxies: list[int], lines: int) -> None:
        fresh = [proxy for proxy in proxies if lines and self.last.get(proxy) != self.reply]
        self.sent += lines * len(proxies) + (self.config.message_overhead_lines + 1) * len(fresh)
        self.messages += len(fresh)
        self.last.update(dict.fromkeys(fresh, self.reply))
        for proxy in fresh if self.config.max_messages_per_proxy > 0 else ():
            self.written.setdefault(proxy, deque()).append(now)

    def stamp(self, already: float) -> list[Command]:
        self.reply += 1
        if self.sent <= already:
            return []
        self.mark = (self.mark + 1) % 65536
        self.marks[self.mark] = already  # as many as the numbers allow are kept
        self.own, self.messages, self.told = self.messages, 0, set()
        return [RequestAck(self.mark, False)]
