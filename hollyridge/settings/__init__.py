"""Settings: INI files, read, checked, and turned into the terms that each part is started with."""
