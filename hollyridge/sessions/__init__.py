"""Sessions of load balancers across their streams, and access control. No I/O, no clock."""
