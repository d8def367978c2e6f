"""Registration of tasks, and allocation of dense indices to names. No I/O, no clock."""
