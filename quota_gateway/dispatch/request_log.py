"""The request log: one line per event of a request, with searchable `name=value` fields.

It is written at level DEBUG (`RELAY_LOG_LEVEL=debug`). Its times are seconds on the monotonic clock, which
all processes of a machine share.
"""

from __future__ import annotations

import logging
import time

from quota_gateway.dispatch.active_request import ActiveRequest
from quota_gateway.policy.permissions import RefusalReason
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt

log = logging.getLogger("quota_gateway.requests")


class RequestLog:
    """Writes the events of requests; callers check `enabled` first."""

    def __init__(self) -> None:
        """Cache whether the log is enabled, which is checked several times per request."""
        self.enabled = log.isEnabledFor(logging.DEBUG)

    def received(self, active_request: ActiveRequest, now: float) -> None:
        """Log a request that was read at `now` seconds."""
        request = active_request.request
        age = now - request.received_at
        self._write(active_request, f"received class={request.request_class} age={age:.4f}")

    def refused(
        self, active_request: ActiveRequest, attempt: UpstreamAttempt, refusal: RefusalReason
    ) -> None:
        """Log why an attempt was not sent."""
        self._write(active_request, f"refused {attempt_fields(attempt)} why={refusal}")

    def started(self, active_request: ActiveRequest, attempt: UpstreamAttempt, now: float) -> None:
        """Log an attempt that may be sent, with the seconds left until its deadline."""
        time_left = attempt.deadline - now
        self._write(active_request, f"started {attempt_fields(attempt)} left={time_left:.4f}")

    def ended(self, active_request: ActiveRequest, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Log the outcome of an attempt."""
        outcome = result.outcome.name.lower()
        received = attempt.response_bytes
        self._write(active_request, f"ended {attempt_fields(attempt)} outcome={outcome} received={received}")

    def answered(self, active_request: ActiveRequest, status: int | None, reason: str) -> None:
        """Log the final response; a status of None means that the client gets none."""
        self._write(active_request, f"answered status={status or 'none'} why={reason or '-'}")

    def half_closed(self, active_request: ActiveRequest, start_deadline: float, now: float) -> None:
        """Log that the client has half-closed its connection, with the seconds left to start an attempt."""
        self._write(active_request, f"half_closed grace={start_deadline - now:.4f}")

    def _write(self, active_request: ActiveRequest, event: str) -> None:
        call_id = active_request.request.call_id.decode()
        request_id = active_request.request_id
        log.debug("at=%.6f request=%d call=%s event=%s", time.monotonic(), request_id, call_id, event)


def attempt_fields(attempt: UpstreamAttempt) -> str:
    """Return the log fields that identify an attempt."""
    return f"attempt={attempt.index} endpoint={attempt.endpoint_id}"
