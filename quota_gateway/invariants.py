"""Invariants of requests and connections, which are checked at run time.

Each check is made where an action is performed, independently of the code that decided on it, so a violation
is always a bug in the gateway. Violations are logged, and counted in metrics, which should stay at 0.
"""

from __future__ import annotations

import logging
from enum import StrEnum

# Seconds by which the time budget sent to an endpoint may exceed what the client has left
TIME_BUDGET_SLACK = 0.15
# Seconds that may pass between the check for a half-closed client and the write of an attempt
HALF_CLOSE_SLACK = 0.05
# Seconds after a client's deadline within which a final response still counts as in time
RESPONSE_SLACK = 0.5

log = logging.getLogger("quota_gateway")


class Invariant(StrEnum):
    """Conditions that always hold; the values are metric names."""

    SENT_ONCE = "sent_once"  # an attempt is written only once, to one connection
    SENT_UNANSWERED = "sent_unanswered"  # no attempt is written for a request that has its final response
    SENT_TO_LISTED = "sent_to_listed"  # no attempt is written to a draining, removed or restarted endpoint
    SENT_IN_TIME = "sent_in_time"  # no attempt is written after its deadline
    TOLD_IN_TIME = "told_in_time"  # no endpoint is sent a longer time budget than the client has left
    SENT_TO_PRESENT = "sent_to_present"  # no attempt is written after a half-closed client's grace period
    ANSWERED_ONCE = "answered_once"  # a request gets only one final response
    ANSWERED_IN_TIME = "answered_in_time"  # a request gets its final response by the client's deadline
    CLOSED_ANSWERED = "closed_answered"  # the gateway closes no connection with an unanswered request


class InvariantMonitor:
    """Counts the violations of each invariant."""

    def __init__(self) -> None:
        """Initialize the counts to zero."""
        self.violations = dict.fromkeys(Invariant, 0)

    def record_violation(self, invariant: Invariant, subject: object) -> None:
        """Count and log a violation by `subject`, such as a request id or the head of an attempt."""
        self.violations[invariant] += 1
        log.error("invariant %s is violated by %s", invariant, subject)
