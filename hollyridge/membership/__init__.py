"""Fleet membership and proxy ownership, implemented as decisions only, without I/O and without a clock."""
