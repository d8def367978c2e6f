"""Faults of a day, by what they strike. The methods' names are the kinds in scenarios and recordings."""
