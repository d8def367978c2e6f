"""Clients of a stand-in proxy, which send RPCs at random times and retry them."""

from __future__ import annotations

from functools import lru_cache
from itertools import accumulate
from math import prod
from typing import TYPE_CHECKING

from hollyridge.lab.stand_ins import rpc

if TYPE_CHECKING:
    from hollyridge.lab.stand_ins.proxy import Proxy

MIN_RATE = 1e-6  # RPCs per second, so that a fault that removes all traffic leaves a positive rate
WORK_SIGMA = 0.6  # sigma of the lognormal distribution of an RPC's work
WORK_MEAN = 1.197  # mean of that distribution
RETRY_BASE_PAUSE_S = 0.05  # base of the pauses before retries, doubled after each attempt
RETRIES_BY_MODE = (0, 1, 1, 2)  # number of additional attempts, by retry mode (see `Gateway.level_for`)
RETRY_IF_NOT_RUN = 1  # retry mode in which an RPC is only sent again if it certainly never ran
MIN_ATTEMPT_S = 0.05  # minimum time left of the deadline for another attempt
IDEMPOTENT = "idempotent"


@lru_cache(maxsize=8)
def key_popularity(keys: int, zipf: float) -> list[float]:
    """Return the cumulative weights of the keys by rank, for a Zipf distribution with exponent `zipf`."""
    return list(accumulate(rank**-zipf for rank in range(1, keys + 1)))


class Clients:
    """Clients that send RPCs through one proxy."""

    def __init__(self, proxy: Proxy, rate: float, incarnation: int) -> None:
        """Create the clients of a proxy.

        Args:
            proxy: The proxy.
            rate: Mean rate, in RPCs per second.
            incarnation: Part of every token that distinguishes it from tokens before a restart of the proxy.
        """
        self.proxy = proxy
        self.world = proxy.world
        self.rng = proxy.rng
        self.plan = proxy.plan
        self.rate = rate
        self.incarnation = incarnation
        self.last_token = 0

    def run(self) -> None:
        """Send RPCs until the proxy is down."""
        shares = [method.share for method in self.plan.methods]
        while not self.proxy.down:
            rate = self.rate * prod(self.proxy.rate_factors.values())
            self.world.sleep(self.rng.expovariate(max(MIN_RATE, rate)))
            method = self.rng.choices(range(len(shares)), shares)[0]
            mean_us = self.plan.methods[method].work_us
            work_us = self.rng.lognormvariate(0, WORK_SIGMA) / WORK_MEAN * mean_us
            self.world.spawn(self._send, method, work_us, self._draw_key())

    def _draw_key(self) -> int:
        keys = self.plan.keys
        if not keys:
            return rpc.NO_KEY
        return self.rng.choices(range(keys), cum_weights=key_popularity(keys, self.plan.zipf))[0]

    def _send(self, method: int, work_us: float, key: int) -> None:
        """Send one RPC and retry it as a client does.

        An idempotent RPC is retried after any failure. Any other is retried only if it certainly never ran, unless the
        clients are reckless.
        """
        plan, begun_s = self.plan.methods[method], self.proxy.now_s()
        self.last_token += 1
        token = f"{self.proxy.uid}.{self.incarnation}.{self.last_token}"
        call = rpc.Call(0, self.proxy.uid, method, token, work_us, key)
        deadline_s = begun_s + plan.deadline_us / 1e6
        attempts = 0
        while True:
            outcome = self._attempt(call, deadline_s)
            attempts += 1
            if not self._may_retry(plan.repeats, outcome, attempts):
                break
            pause_s = self.rng.uniform(0.5, 1.5) * RETRY_BASE_PAUSE_S * 2**attempts
            if self.proxy.now_s() + pause_s >= deadline_s:
                break
            self.world.sleep(pause_s)
        took_us = round((self.proxy.now_s() - begun_s) * 1e6)
        self.proxy.record(
            "done", proxy=self.proxy.uid, method=method, ok=outcome == rpc.OK, took=took_us, tries=attempts
        )

    def _may_retry(self, repeats: str, outcome: int, attempts: int) -> bool:
        if outcome == rpc.OK or attempts > self.plan.client_retries:
            return False
        return repeats == IDEMPOTENT or outcome in (rpc.NOT_SENT, rpc.PUSHED_BACK) or self.plan.reckless

    def _attempt(self, call: rpc.Call, deadline_s: float) -> int:
        """Make one attempt and return its outcome; the proxy may repeat the attempt according to the retry mode."""
        proxy, name = self.proxy, self.plan.methods[call.method].name
        proxy.wait_while_stalled()
        proxy.reporter.add_rpc(name)
        admitted, retry = proxy.gateway.level_for(name)
        outcome = rpc.PUSHED_BACK
        if self.rng.random() < admitted:
            outcome = proxy.send(call, deadline_s)
            for _ in range(RETRIES_BY_MODE[retry]):
                never_ran = outcome in (rpc.PUSHED_BACK, rpc.NOT_SENT)
                too_late = proxy.now_s() + MIN_ATTEMPT_S >= deadline_s
                if outcome == rpc.OK or (not never_ran and retry == RETRY_IF_NOT_RUN) or too_late:
                    break
                outcome = proxy.send(call, deadline_s)
        if outcome not in (rpc.OK, rpc.PUSHED_BACK, rpc.NOT_SENT):
            proxy.reporter.add_rpc(name, unanswered=True)
        return outcome
