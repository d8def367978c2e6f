"""hollyridge: an assigner that tells proxies which tasks their RPCs go to."""
