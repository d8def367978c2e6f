"""The weight solver: weights within capacity, counting the cost of moving connections. Decisions only, no I/O."""
