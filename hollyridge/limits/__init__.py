"""Limits on connections, requests, log lines and report sources. No I/O, no clock."""
