"""Divides the file descriptors of the process between clients and endpoints."""

from __future__ import annotations

from typing import NamedTuple

RESERVED_DESCRIPTORS = 64  # for listeners, discovery, the counter, and what the runtime itself needs
MAX_RESERVED_FRACTION = 0.25  # of all descriptors; bounds the reserve where there are few
DOWNSTREAM_FRACTION = 0.6  # of the unreserved ones: queued and rejected requests need none upstream


class DescriptorBudget(NamedTuple):
    """How many connections there may be on each side of the gateway."""

    downstream: int
    upstream: int


def divide_descriptors(max_descriptors: int) -> DescriptorBudget:
    """Return the connections that a process with so many descriptors may have."""
    reserved = min(RESERVED_DESCRIPTORS, int(max_descriptors * MAX_RESERVED_FRACTION))
    available = max_descriptors - reserved
    downstream = int(available * DOWNSTREAM_FRACTION)
    return DescriptorBudget(downstream, available - downstream)
