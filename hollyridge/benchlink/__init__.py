"""Adapter between the assigner's decisions and the wire protocol of the bench; it makes no decisions.

- `wire`: encoding of frames and records.
- `instance`: one assigner, with conversion of records to events and of commands to records.
- `link`: batch processing for all assigners of the process.
"""
