"""Which assigners there are, which of them orders which proxy, and what an heir is told. Decides; no I/O, no clock."""
