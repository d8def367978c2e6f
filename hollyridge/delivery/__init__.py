"""How ordered changes reach the proxies: one message per proxy, paced and counted. No I/O, no clock."""
