"""Checks of recorded days (rules, ownership, protocol parity, metrics) and two explicit-state model checks."""
