"""Endpoints, and the list that names them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointListKind(Enum):
    DELTA = "changes"
    FULL = "whole"
    CACHED = "remembered"
    FAILED = "failed"


class EndpointStatus(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(frozen=True, slots=True)
class Endpoint:
    endpoint_id: str
    zone: str
    machine_type: str
    cell: int
    status: EndpointStatus
    weight: float
    started_at: float | None
