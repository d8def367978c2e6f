"""Times that the platform's protocol states for discovery (its page of figures)."""

HEARTBEAT_INTERVAL_US = 2_000_000  # a watch without changes carries an empty line as often as this
MAX_PROPAGATION_HEARTBEATS = 3.0  # 6 s: every change has reached every watcher by then
MAX_PROPAGATION_US = round(MAX_PROPAGATION_HEARTBEATS * HEARTBEAT_INTERVAL_US)
