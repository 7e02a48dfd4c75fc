"""How attempts, health checks and counter calls end."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    SUCCESS = "success"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    BROKEN_RESPONSE = "broken response"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def proves_not_executed(self) -> bool:
        """True where this outcome proves that the backend did not run the attempt."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
