"""Settings: reads and validates INI files, and builds the configuration of each component from them."""
