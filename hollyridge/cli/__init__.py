"""The commands."""
