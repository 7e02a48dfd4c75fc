"""How attempts, health checks and counter calls end."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt, a health check or a counter call ended."""

    SUCCESS = "success"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    BROKEN_RESPONSE = "broken response"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    __hash__ = (
        object.__hash__
    )  # members are singletons; the inherited one is slow, and each attempt is counted

    @property
    def proves_not_executed(self) -> bool:
        """Whether an attempt with this outcome was certainly not executed, so that a retry is always safe."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
