"""The weight solver: weights within capacity, with the cost of moving connections. Decides; no I/O."""
