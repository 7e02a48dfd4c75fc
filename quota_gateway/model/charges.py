"""Units that one of two processes of a gateway reports to the other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnitsCharged:
    """Units that one of two such processes has sent on for a customer: the other takes them as its own."""

    customer: str
    plan: str
    quota_spread: int
    units: float
