"""Imports of the node process."""

import subprocess
import sys

from stand_ins import ROOT


def test_libraries_of_unused_features_are_not_imported():
    code = (
        "import sys, hollyridge.node.application;"
        "print([name for name in ('zmq', 'numpy', 'highspy', 'matplotlib', 'pydantic', 'cryptography') "
        "if name in sys.modules])"
    )
    process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert process.stdout.strip() == "[]"
