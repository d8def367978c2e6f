"""The push gate: the decision whether better weights are worth a push to the proxies now.

It implements the Greedy Policy of Paschos et al., "Minimum Cost SDN Routing With Reconfiguration Frequency Constraints"
(eq. 20). Its virtual queue U is the price of a push: it rises with each push and falls by the budget each period.
"""

from __future__ import annotations

PUSH_BUDGET_PER_PERIOD = 0.2  # long-run average of pushes per report period; the paper's hmax
GAIN_WEIGHT = 50.0  # weight of the gain against the price of a push; the paper's V
NOISE_FLOOR = 0.05  # relative gain below which a gain counts as zero, since cost measurements are noisy


class PushGate:
    """Gate that allows a push iff U < V x gain, then sets U <- [U - hmax]+ + u, where u is 1 for a push.

    Attributes:
        push_price: The paper's U, in pushes.
        gain: Relative gain at the last decision, for monitoring.
    """

    def __init__(self) -> None:
        self.push_price = 0.0
        self.gain = 0.0

    def decide(self, published_cost: float, current_cost: float, held: bool) -> bool:
        """Return whether to push; to be called once per report period.

        Args:
            published_cost: Cost of the weights that proxies have.
            current_cost: Cost of the weights that a push would send, in the same unit.
            held: Pushes are on hold, whatever the gain.
        """
        self.gain = (published_cost - current_cost) / published_cost if published_cost > 0 else 0.0
        counted_gain = self.gain if self.gain >= NOISE_FLOOR else 0.0
        push = not held and self.push_price < GAIN_WEIGHT * counted_gain
        self.push_price = max(self.push_price - PUSH_BUDGET_PER_PERIOD, 0.0) + push
        return push
