"""Variants of a comparison, and the source trees that they run from."""

from __future__ import annotations

import subprocess
import tempfile
from pathlib import Path
from typing import NamedTuple

from hollyridge.lab.experiments.errors import VariantError

COMMIT_PREFIX = "commit:"
DEFAULT_MODULE = "module"  # name of the service's own decision module


class Variant(NamedTuple):
    """One side of a comparison.

    Attributes:
        name: `module` for the service's own decision module, the name of one of the laboratory's, a settings file
            (.ini) in place of the scenario's, or `commit:REV` of this repository.
    """

    name: str

    def arguments(self) -> list[str]:
        """Return the arguments of `lab run` that select this variant."""
        if self.name.endswith(".ini"):
            return ["--settings", str(Path(self.name).resolve())]
        if self.name.startswith(COMMIT_PREFIX) or self.name == DEFAULT_MODULE:
            return []
        return ["--policy", self.name]


class Checkouts:
    """Source trees of commits, extracted into a temporary folder that exists as long as this object."""

    def __init__(self, root: Path) -> None:
        self.root = root
        self.folder = tempfile.TemporaryDirectory(prefix="hollyridge-commits-")

    def of(self, variant: Variant) -> str | None:
        """Extract the tree that a variant runs from, unless it is there already.

        Returns:
            The tree's folder; None for variants that run from the current tree.

        Raises:
            VariantError: If git cannot extract the commit.
        """
        if not variant.name.startswith(COMMIT_PREFIX):
            return None
        revision = variant.name.removeprefix(COMMIT_PREFIX)
        target = Path(self.folder.name) / revision.replace("/", "_")
        if not target.exists():
            archive = subprocess.run(["git", "-C", str(self.root), "archive", revision], capture_output=True)
            if archive.returncode:
                raise VariantError(f"variant {variant.name}: git finds no commit {revision} in {self.root}")
            target.mkdir()
            subprocess.run(["tar", "-x", "-C", str(target)], input=archive.stdout, check=True)
        return str(target)
