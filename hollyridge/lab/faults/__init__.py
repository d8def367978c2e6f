"""Faults of a day, grouped by what they affect. Public methods are named like the kinds in scenarios and recordings."""
