"""Assigner process with another decision module: `python -m hollyridge.lab.stand_ins.assigner POLICY FILE.ini`."""

import sys

from hollyridge.cli.main import load, run
from hollyridge.lab.experiments.policies import POLICIES

if __name__ == "__main__":
    run(load(sys.argv[2]), sys.argv[2], POLICIES[sys.argv[1]])
