"""Sessions of proxies across their streams, and who may do what. No I/O, no clock."""
