"""What stands in for the real things: tasks, proxies, their agent, and the live and the simulated world."""
