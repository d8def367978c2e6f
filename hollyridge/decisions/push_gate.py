"""When better weights are worth a push."""

from __future__ import annotations

HMAX = 0.2  # pushes a period in the long run
V = 50.0  # weight of the gain against the price of a push
NOISE_FLOOR = 0.05  # a smaller gain counts as none


class PushGate:
    """The Greedy Policy: push iff U < V x gain, then U <- [U - hmax]+ + u."""

    def __init__(self) -> None:
        self.price = self.gain = 0.0

    def decide(self, published: float, current: float, held: bool) -> bool:
        self.gain = gain = (published - current) / published if published > 0 else 0.0
        push = not held and self.price < V * (gain if gain >= NOISE_FLOOR else 0.0)
        self.price = max(self.price - HMAX, 0.0) + push
        return push
