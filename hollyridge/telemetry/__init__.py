"""Aggregation of load reports by period. No I/O, no clock."""
