"""The platform's settings read into an assigner's configuration; standard library only."""
