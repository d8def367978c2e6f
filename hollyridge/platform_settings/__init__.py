"""The platform's settings read into an assigner's configuration.

Shared by the node, which gets them as JSON, and the bench adapter, which gets them as text. Standard library only.

- `settings_text`: either form to texts by path.
- `settings_reader`: typed values by path, with the faults collected.
- `assigner_config`: the configuration built from them.
"""
