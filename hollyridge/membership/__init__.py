"""Membership of a shared fleet and ownership of its proxies: decisions only, no I/O and no clock."""
