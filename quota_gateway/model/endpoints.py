"""Endpoints, and the kinds of lists that name them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointListKind(Enum):
    """What a list of endpoints says about those that it does not name."""

    DELTA = "delta"  # nothing: they stay as they are
    FULL = "full"  # they are removed
    CACHED = "cached"  # as FULL, but from before the start of this process
    FAILED = "failed"  # no list came


class EndpointStatus(Enum):
    """The state of an endpoint by discovery; the values are part of the messages of a hot restart."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One upstream server."""

    endpoint_id: str
    zone: str
    machine_type: str
    cell: int
    status: EndpointStatus
    weight: float  # its capacity, relative to that of other endpoints
    started_at: float | None  # Unix time in seconds, by the endpoint's clock; None where it is not known
