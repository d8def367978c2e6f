"""Conversion of the platform's settings to an assigner's configuration.

The package is shared by the node, which gets the settings as JSON, and the bench adapter, which gets them as text. It
depends on the standard library only.

- `settings_text`: conversion of either form to texts by path.
- `settings_reader`: typed values by path, with all faults collected.
- `assigner_config`: the configuration built from these values.
"""
