"""Delivery of commands to the proxies: one update per proxy and decision, paced and counted. No I/O, no clock."""
