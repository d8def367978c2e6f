"""The routing decisions, one module for each kind of decision, without I/O and without a clock."""
