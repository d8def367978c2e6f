"""The laboratory: days with faults, simulated or on real sockets, and checks of the rules from recordings of them."""
