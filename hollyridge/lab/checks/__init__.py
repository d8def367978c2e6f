"""What judges a day: the rules, ownership, parity of the protocols, metrics, and two explicit-state model checks."""
