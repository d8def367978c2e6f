"""What plays many days: paired comparisons, searches for bad days, sweeps of sizes, takeovers and report floods."""
