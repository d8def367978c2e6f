"""Sessions of load balancers and their streams, and access control. No I/O, no clock."""
