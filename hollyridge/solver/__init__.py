"""Weight solver: plans weights within capacity, including the cost of moving connections. No I/O, no clock."""
