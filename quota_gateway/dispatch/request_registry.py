"""The requests in progress, and the only place where a request gets its final response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_gateway.dispatch.active_request import ActiveRequest
from quota_gateway.invariants import RESPONSE_SLACK, Invariant, InvariantMonitor
from quota_gateway.metrics import Metrics
from quota_gateway.policy.repeated_calls import RepeatedCalls


class RequestRegistry:
    """Holds the requests that are unanswered or still have attempts in flight."""

    def __init__(self, clock: Callable[[], float], metrics: Metrics, invariants: InvariantMonitor) -> None:
        """Initialize an empty registry that counts finished requests in `metrics`."""
        self.active_requests: dict[int, ActiveRequest] = {}
        self.repeated_calls = RepeatedCalls()
        self.active_call_ids: set[bytes] = set()  # the call ids of these requests, as set by the clients
        self.unanswered_request_count = 0
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants
        self._all_answered = asyncio.Event()

    def add(self, active_request: ActiveRequest) -> None:
        """Add an unanswered request."""
        self.active_requests[active_request.request_id] = active_request
        self.active_call_ids.add(active_request.request.call_id)
        self.unanswered_request_count += 1

    def record_attempt(self, active_request: ActiveRequest) -> bool:
        """Remember the id of a request that must not run twice; return whether it was not known before."""
        request = active_request.request
        call_id = request.call_id
        now = self._clock()
        if not request.forbids_repeats or self.repeated_calls.is_repeat(call_id, now):
            return False
        self.repeated_calls.add(call_id, now)
        return True

    def is_known_call(self, call_id: bytes) -> bool:
        """Return whether a request with this id is in progress, or may have run and must not be repeated."""
        return call_id in self.active_call_ids or self.repeated_calls.is_repeat(call_id, self._clock())

    def find(self, request_id: int) -> ActiveRequest | None:
        """Return the request with this id, or None if it is not in progress."""
        return self.active_requests.get(request_id)

    def find_unanswered(self, request_id: int) -> ActiveRequest | None:
        """Return the request with this id, or None if it is not in progress or already answered."""
        active_request = self.active_requests.get(request_id)
        if active_request is None or active_request.answered:
            return None
        return active_request

    def finish(
        self, active_request: ActiveRequest, status: int | None, body: bytes = b"", headers: bytes = b""
    ) -> None:
        """Answer a request; a status of None sends nothing, since the client has disconnected."""
        if active_request.answered:
            self._invariants.record_violation(Invariant.ANSWERED_ONCE, active_request.request.call_id)
            return
        active_request.answered = True
        self.unanswered_request_count -= 1
        if status is not None:
            self._check_response_time(active_request)
            self._metrics.record_request(active_request.request.request_class, status)
        if not self.unanswered_request_count:
            self._all_answered.set()
        active_request.stop_watchdog()
        active_request.respond(status, body, headers)
        active_request.cancel_obsolete_attempts()

    def _check_response_time(self, active_request: ActiveRequest) -> None:
        """Check that a response is in time.

        It must be sent within RESPONSE_SLACK of the client's deadline, or of when the request was read if
        that was later. A streamed response has no deadline.
        """
        missed_before = self._clock() - RESPONSE_SLACK
        if missed_before <= active_request.client_deadline or missed_before <= active_request.request.read_at:
            return
        if active_request.streaming_attempt is None:
            self._invariants.record_violation(Invariant.ANSWERED_IN_TIME, active_request.request.call_id)

    def remove_if_complete(self, active_request: ActiveRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if not active_request.answered or active_request.in_flight_count:
            return
        if self.active_requests.pop(active_request.request_id, None) is not None:
            self.active_call_ids.discard(active_request.request.call_id)
            if not active_request.may_have_run:
                self.repeated_calls.discard(active_request.request.call_id)

    async def wait_until_answered(self, timeout: float) -> bool:
        """Wait until every request is answered; return False after `timeout` seconds."""
        deadline = self._clock() + timeout
        while self.unanswered_request_count:
            self._all_answered.clear()
            try:
                await asyncio.wait_for(self._all_answered.wait(), max(deadline - self._clock(), 0.0))
            except TimeoutError:
                return False
        return True
