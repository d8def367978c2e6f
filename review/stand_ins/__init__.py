"""Stand-ins of the review: discovery, tasks, proxies and collectors of the platform, written from its pages.

They use the standard library only. Everything runs in one asyncio loop, except for the assigner, which is started as
the deploy file says. All addresses are loopback addresses, all ports are free ones.
"""
