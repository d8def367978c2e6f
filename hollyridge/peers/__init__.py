"""Communication between the assigners of one fleet: sealed packets, datagrams, and membership carried out."""
