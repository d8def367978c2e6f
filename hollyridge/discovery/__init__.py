"""Service discovery: the endpoint list, kept up to date by one HTTP watch of the discovery service."""
