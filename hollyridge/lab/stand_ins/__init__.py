"""Stand-ins for tasks, proxies and agents, and the live and the simulated environment that they run in."""
