"""The routing decisions: one decision a module, without I/O or clock."""
