"""How the programs of this package end on an error: one line on standard error, and an exit status."""

from __future__ import annotations

import sys

EXIT_FAILURE = 1  # the environment failed, as with an address that is in use
EXIT_INVALID_INPUT = 2  # the configuration, or the input, can't be used


def report_fatal_error(problem: object, status: int) -> int:
    """Print the error as one line, and return the exit status for it."""
    print(f"quota_gateway: {problem}", file=sys.stderr)
    return status
