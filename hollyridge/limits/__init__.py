"""Limits on connections, log lines and report senders. No I/O, no clock."""
