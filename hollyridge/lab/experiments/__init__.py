"""Experiments over many days: paired comparisons, searches for bad days, scaling sweeps, takeovers, report floods."""
