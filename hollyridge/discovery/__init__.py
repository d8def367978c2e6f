"""The list of tasks from a discovery service over HTTP."""
