"""Node process of the platform, which runs one assigner: configuration, wiring and signals.

- `config`: reads and validates the platform's JSON configuration.
- `config_reload`: reloads that file while the assigner serves.
- `application`: creates and connects the components of the assigner.
- `process`: runs the process from its start to its exit code; `__main__` starts it.
"""
