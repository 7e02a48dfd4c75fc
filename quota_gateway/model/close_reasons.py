"""Why the gateway closes a client's connection of its own accord."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Reasons for closing a client's connection; the values are names of metrics."""

    IDLE = "idle"  # no request for the idle timeout
    UNREAD_RESPONSE = "unread_response"  # the client reads nothing of what is sent to it
    LINGER = "linger"  # the client keeps its side open after the last response
    EVICTED = "evicted"  # other clients need the descriptor
    SLOW_REQUEST = "slow_request"  # a request did not come whole in time
