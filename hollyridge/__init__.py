"""hollyridge: an assigner that sends proxies the weighted tasks for their RPCs."""
