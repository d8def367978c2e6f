"""The engine around the decisions, without I/O, and the greenlets that drive it and work beside it."""
