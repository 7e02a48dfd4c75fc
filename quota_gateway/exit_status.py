"""Exit statuses and fatal error reports of the programs of this package."""

from __future__ import annotations

import sys

EXIT_FAILURE = 1  # an operation of the system failed, for example because an address is in use
EXIT_INVALID_INPUT = 2  # the configuration or the input is invalid


def report_fatal_error(problem: object, status: int) -> int:
    """Print a one-line message on standard error, and return the exit status `status`."""
    print(f"quota_gateway: {problem}", file=sys.stderr)
    return status
