"""The log of what happens to each request, one line an event, in fields that can be searched.

It is written at the level DEBUG (`RELAY_LOG_LEVEL=debug`), with the times of the monotonic clock that all
processes of a machine share.
"""

from __future__ import annotations

import logging
import time

from quota_gateway.dispatch.active_request import ActiveRequest
from quota_gateway.policy.permissions import Refusal
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt

log = logging.getLogger("quota_gateway.requests")


class RequestLog:
    """Writes the events of requests, if that is enabled."""

    def __init__(self) -> None:
        """Look once whether the log is enabled: the answer is needed some times for each request."""
        self.enabled = log.isEnabledFor(logging.DEBUG)

    def received(self, active_request: ActiveRequest, now: float) -> None:
        """Note a request that was read at `now`, in seconds."""
        request = active_request.request
        age = now - request.received_at
        self._write(active_request, f"received class={request.request_class} age={age:.4f}")

    def refused(self, active_request: ActiveRequest, attempt: UpstreamAttempt, refusal: Refusal) -> None:
        """Note an attempt that was not sent."""
        self._write(active_request, f"refused {describe(attempt)} why={refusal}")

    def started(self, active_request: ActiveRequest, attempt: UpstreamAttempt, now: float) -> None:
        """Note an attempt that may be sent, with the seconds that it has."""
        left = attempt.deadline - now
        self._write(active_request, f"started {describe(attempt)} left={left:.4f}")

    def ended(self, active_request: ActiveRequest, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Note the end of an attempt."""
        self._write(active_request, f"ended {describe(attempt)} outcome={result.outcome.name.lower()}")

    def answered(self, active_request: ActiveRequest, status: int | None, why: str) -> None:
        """Note the final response, or that the client gets none."""
        self._write(active_request, f"answered status={status or 'none'} why={why or '-'}")

    def half_closed(self, active_request: ActiveRequest, start_limit: float, now: float) -> None:
        """Note that the client has ended its sending, with the seconds left for an attempt to begin."""
        self._write(active_request, f"half_closed grace={start_limit - now:.4f}")

    def _write(self, active_request: ActiveRequest, event: str) -> None:
        call_id = active_request.request.call_id.decode()
        request_id = active_request.request_id
        log.debug("at=%.6f request=%d call=%s event=%s", time.monotonic(), request_id, call_id, event)


def describe(attempt: UpstreamAttempt) -> str:
    """Return the fields of an attempt."""
    return f"attempt={attempt.index} endpoint={attempt.endpoint_id}"
