"""The real assigner on the platform: start, configuration, signals; wiring only."""
