"""What the assigner's parts bring with them."""

import subprocess
import sys

from stand_ins import ROOT


def test_nothing_that_is_switched_off_is_imported():
    code = (
        "import sys, hollyridge.node.application;"
        "print([name for name in ('zmq', 'numpy', 'highspy', 'matplotlib', 'pydantic', 'cryptography') "
        "if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.stdout.strip() == "[]"
