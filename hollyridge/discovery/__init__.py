"""Service discovery: keeps the endpoint list up to date through one HTTP watch of the discovery service."""
