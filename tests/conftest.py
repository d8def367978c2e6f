"""Fixtures that tests of several packages share."""

from service_rig import rig  # noqa: F401 - a fixture is found by its name
