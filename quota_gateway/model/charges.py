"""Units that one of two processes of a gateway reports to the other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Charged:
    """Units that one of two such processes has sent on for a customer: the other takes them as its own."""

    customer: str
    plan: str
    width: int
    units: float
