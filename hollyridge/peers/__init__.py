"""Communication between the assigners of one fleet: encrypted packets, UDP transport and the membership service."""
