"""The commands of `hollyridge`."""
