"""The laboratory: stand-ins on real sockets, troubles, recordings of what passed, and the checker of the rules."""
