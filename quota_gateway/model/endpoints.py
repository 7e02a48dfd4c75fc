"""Endpoints, and the endpoint lists that discovery sends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointListKind(Enum):
    """How an endpoint list affects the endpoints that are not in it."""

    DELTA = "delta"  # endpoints that are not in the list are unchanged
    FULL = "full"  # endpoints that are not in the list are removed
    CACHED = "cached"  # a full list that was saved before this process started
    FAILED = "failed"  # discovery returned no list


class EndpointStatus(Enum):
    """Lifecycle state of an endpoint in discovery; the values are sent in hot restart messages."""

    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream server."""

    endpoint_id: str
    zone: str
    machine_type: str
    cell: int
    status: EndpointStatus
    weight: float  # capacity relative to other endpoints
    started_at: float | None  # Unix time in seconds by the endpoint's clock; None if unknown
