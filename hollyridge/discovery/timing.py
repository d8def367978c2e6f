"""Timing constants of discovery that the platform's protocol states on its page of figures."""

HEARTBEAT_INTERVAL_US = 2_000_000  # interval between the empty lines that discovery sends on a watch without changes
MAX_PROPAGATION_HEARTBEATS = 3.0  # heartbeat intervals within which every change reaches every watcher (6 s)
MAX_PROPAGATION_US = round(MAX_PROPAGATION_HEARTBEATS * HEARTBEAT_INTERVAL_US)
