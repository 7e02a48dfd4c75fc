"""Invariants of requests and connections, checked at run time: each violation is counted and logged.

They are checked where something is done, apart from the code that decides on it: a violation is a fault of
this program, whatever else happened. Operators see the counts, which stay at 0.
"""

from __future__ import annotations

import logging
from enum import StrEnum

DEADLINE_SLACK = 0.15  # seconds by which an endpoint may be told more than its client has left
START_SLACK = 0.05  # seconds from the look at a half-closed client to the write
ANSWER_SLACK = 0.5  # seconds after a client's time until which a final response counts

log = logging.getLogger("quota_gateway")


class Invariant(StrEnum):
    """What always holds; the values are names of metrics."""

    SENT_ONCE = "sent_once"  # an attempt is written to one connection, once
    SENT_UNANSWERED = "sent_unanswered"  # no attempt is written for a request that has its final response
    SENT_TO_LISTED = "sent_to_listed"  # none is written to an endpoint that drains, is gone or was restarted
    SENT_IN_TIME = "sent_in_time"  # none is written past its deadline
    TOLD_IN_TIME = "told_in_time"  # no endpoint is told more than its client has left
    SENT_TO_PRESENT = "sent_to_present"  # none is written once a half-closed client's grace period is over
    ANSWERED_ONCE = "answered_once"  # a request has one final response
    ANSWERED_IN_TIME = "answered_in_time"  # it has it within its client's time
    CLOSED_ANSWERED = "closed_answered"  # no connection is closed here on a request without a response


class InvariantMonitor:
    """Counts the violations of each invariant."""

    def __init__(self) -> None:
        """Start with none."""
        self.violations = dict.fromkeys(Invariant, 0)

    def violated(self, invariant: Invariant, subject: object) -> None:
        """Count and log a violation by `subject`."""
        self.violations[invariant] += 1
        log.error("invariant %s is violated by %s", invariant, subject)
