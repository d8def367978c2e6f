"""Laboratory: days with faults, simulated or on real sockets, and checks of the rules from their recordings."""
