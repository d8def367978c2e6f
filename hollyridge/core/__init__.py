"""The loop around the decision module: events in, orders out, by one clock that is handed in."""
