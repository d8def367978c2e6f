"""The assigner as the platform starts it: configuration, wiring, signals.

- `config`: the platform's JSON configuration, checked.
- `config_reload`: the same file read again while the assigner serves.
- `application`: the parts of the assigner wired together.
- `process`: the process from its start to its exit code; `__main__` starts it.
"""
