"""Versions of tables as values, and learned estimates as they are kept on disk. Decides nothing, keeps no time."""
