"""Versions of tables as immutable values, and learned estimates on disk. No decisions, no clock."""
