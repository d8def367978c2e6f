"""Table versions as values. Decides nothing, keeps no time, knows no front."""
