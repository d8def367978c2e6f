"""Run the adapter on standard input and output."""

import sys

from hollyridge.benchlink.link import serve
from hollyridge.benchlink.wire import WireError


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as trouble:
        print(f"benchlink: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
