"""Command line of `hollyridge`."""
