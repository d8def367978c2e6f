"""The adapter between the assigner's decisions and the bench's wire. It decides nothing.

- `wire`: frames and records as bytes.
- `instance`: one assigner, its events and commands as fields of records.
- `link`: all instances of the process, batch by batch.
"""
