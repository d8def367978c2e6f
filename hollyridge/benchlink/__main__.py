"""Entry point of the adapter, which reads standard input and writes standard output."""

import sys

from hollyridge.benchlink.link import serve
from hollyridge.benchlink.wire import WireError

EXIT_OUTPUT_CLOSED = 1
EXIT_BAD_INPUT = 2


def main() -> int:
    """Serve until the input ends, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return 0


if __name__ == "__main__":
    sys.exit(main())
