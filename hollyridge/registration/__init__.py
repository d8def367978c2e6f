"""Which tasks register, and the dense indices that names are given. No I/O, no clock."""
