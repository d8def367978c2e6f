"""The engine around the decision module, without I/O, and the greenlets that drive it and its side services."""
