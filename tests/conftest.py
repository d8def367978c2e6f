"""Fixtures shared by the tests of several packages."""

from service_rig import rig  # noqa: F401 - a fixture is found by its name
