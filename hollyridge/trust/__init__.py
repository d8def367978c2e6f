"""What of the reports that come is read, and how far it is believed. Decides; no I/O, no clock."""
