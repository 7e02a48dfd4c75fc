"""Divides the file descriptors of the process between client and endpoint connections."""

from __future__ import annotations

from typing import NamedTuple

# Descriptors reserved for listeners, discovery, the counter and the runtime
RESERVED_DESCRIPTORS = 64
# Maximum fraction of all descriptors that is reserved; it applies if the process has few descriptors
MAX_RESERVED_FRACTION = 0.25
# Fraction of the unreserved descriptors for client connections; it is above one half because queued and
# rejected requests need no upstream connection
DOWNSTREAM_FRACTION = 0.6


class DescriptorBudget(NamedTuple):
    """Maximum number of connections on each side of the gateway."""

    downstream: int
    upstream: int


def divide_descriptors(max_descriptors: int) -> DescriptorBudget:
    """Return the connections that a process with `max_descriptors` file descriptors may open."""
    reserved = min(RESERVED_DESCRIPTORS, int(max_descriptors * MAX_RESERVED_FRACTION))
    available = max_descriptors - reserved
    downstream = int(available * DOWNSTREAM_FRACTION)
    return DescriptorBudget(downstream, available - downstream)
