"""Results of attempts, health checks and counter calls."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Result of an attempt, a health check or a counter call; metrics use the lower-case member names."""

    SUCCESS = "success"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    BROKEN_RESPONSE = "broken response"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    WRITE_TIMED_OUT = "write timed out"  # the endpoint did not take the whole request in time

    # Members are singletons, so identity hashing works; Enum.__hash__ is slow, and every attempt is counted.
    __hash__ = object.__hash__

    @property
    def proves_not_executed(self) -> bool:
        """Whether the attempt was certainly not executed, so that a retry is always safe."""
        return self in (
            Outcome.REJECTED,
            Outcome.CONNECT_FAILED,
            Outcome.NOT_SENT,
            Outcome.WRITE_TIMED_OUT,
        )
