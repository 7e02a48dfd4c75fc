"""A client request in progress and the upstream attempts made for it."""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Protocol

from quota_gateway.body_streaming import ResponseHead, StreamSink
from quota_gateway.dispatch.client_request import ClientRequest, ResponseChannel
from quota_gateway.model.actions import StartAttempt
from quota_gateway.model.events import RequestReceived
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import RefusalReason, attempt_refusal
from quota_gateway.policy.response_sizes import ResponseSizes
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt

# Seconds by which the policy engine's deadline precedes the client's timeout. The timeout starts when the
# client sends the request, the response takes time to reach it, and the CPU core may be busy with another
# gateway process.
RESPONSE_MARGIN = 0.1
# Seconds before the client's timeout at which the watchdog fails a request that has no response.
WATCHDOG_MARGIN = 0.05
# Upper limit of the response margin, as a fraction of the client's time budget. The watchdog's margin is
# limited to half of that.
MAX_MARGIN_FRACTION = 0.25
# Seconds that the upload of a streamed body may take. The downstream side ends an upload that stalls.
BODY_UPLOAD_TIMEOUT = 900.0


class AttemptObserver(Protocol):
    """Receives the events of the attempts of active requests."""

    def attempt_ended(
        self, active_request: ActiveRequest, attempt: UpstreamAttempt, result: AttemptResult
    ) -> None:
        """Handle the end of an attempt; called once per attempt."""

    def start_response_stream(
        self, active_request: ActiveRequest, attempt: UpstreamAttempt, head: ResponseHead
    ) -> StreamSink | None:
        """Return the sink for a response too long to buffer, or None if it can't be forwarded."""

    def response_started(self, active_request: ActiveRequest, attempt: UpstreamAttempt) -> None:
        """Handle the first byte of a response that is incomplete and not forwarded yet."""

    def response_sizes(self, request_class: str) -> ResponseSizes:
        """Return the sizes of the short responses to a request class."""


class ActiveRequest:
    """A request from its arrival until it is answered and the last of its attempts has ended.

    It owns its attempts and its watchdog timer, and is the `AttemptOwner` of its attempts.
    """

    __slots__ = (
        "answered",
        "arrived_at",
        "attempt_start_deadline",
        "attempts",
        "client_deadline",
        "deadline",
        "in_flight_count",
        "may_have_run",
        "observer",
        "request",
        "request_id",
        "response_channel",
        "streaming_attempt",
        "watchdog_timer",
    )

    def __init__(
        self, request_id: int, request: ClientRequest, response: ResponseChannel, observer: AttemptObserver
    ) -> None:
        """Initialize an unanswered request whose attempts report to `observer`."""
        self.request_id = request_id
        self.request = request
        self.response_channel: ResponseChannel | None = response  # None once the request is answered
        self.observer = observer
        timeout = self.time_budget if request.body_stream is None else BODY_UPLOAD_TIMEOUT
        self.deadline = request.received_at + timeout
        # When the last byte arrived, in seconds; until a streamed body is complete, when the head did.
        self.arrived_at = request.received_at
        # When the client stops waiting, in seconds. Infinite while a streamed body is incomplete.
        self.client_deadline = (
            math.inf if request.body_stream is not None else self.arrived_at + request.client_timeout
        )
        self.attempts: list[UpstreamAttempt] = []
        self.in_flight_count = 0  # number of attempts that have not ended
        self.answered = False
        self.may_have_run = False  # an attempt has ended that an endpoint may have executed
        self.streaming_attempt: UpstreamAttempt | None = None  # the attempt whose response is streamed
        # When attempts may no longer start, in seconds. Set when the client half-closes its connection.
        self.attempt_start_deadline: float | None = None
        self.watchdog_timer: asyncio.TimerHandle | None = None

    @property
    def time_budget(self) -> float:
        """Seconds from the request's last byte to the policy engine's deadline."""
        budget = self.request.client_timeout
        return budget - min(RESPONSE_MARGIN, MAX_MARGIN_FRACTION * budget)

    @property
    def watchdog_deadline(self) -> float:
        """When the watchdog fails the request, in seconds."""
        request = self.request
        margin = min(WATCHDOG_MARGIN, MAX_MARGIN_FRACTION * request.client_timeout / 2)
        return request.received_at + request.client_timeout - margin

    def received_event(self) -> RequestReceived:
        """Return the event that reports the request to the policy engine."""
        request = self.request
        return RequestReceived(
            self.request_id,
            request.request_class,
            request.plan,
            request.customer,
            request.received_at + self.time_budget,
            request.units,
            request.quota_spread,
            request.first_gateway_index,
            request.is_retry,
            request.client_timeout,
            request.body_stream is not None,
        )

    def body_received(self, received_at: float) -> None:
        """Restart the client's time budget at the arrival of a streamed body's last byte, in seconds."""
        self.request.received_at = received_at
        self.arrived_at = received_at
        self.client_deadline = received_at + self.request.client_timeout

    def client_disconnected(self) -> bool:
        """Return whether the client has closed its side of the connection."""
        return self.response_channel is not None and self.response_channel.client_disconnected()

    def find_refusal(self, send_deadline: float | None, now: float) -> RefusalReason | None:
        """Return why an attempt may not be sent at `now`, or None if it may."""
        return attempt_refusal(self, send_deadline, now)

    def add_attempt(self, action: StartAttempt, now: float) -> UpstreamAttempt:
        """Create the attempt that `action` requests; it counts as in flight, but is not started yet."""
        deadline = self.deadline
        if action.timeout > 0:
            deadline = min(deadline, now + action.timeout)
        attempt = UpstreamAttempt(
            action.endpoint_id,
            self.request.head,
            self.request.body,
            now,
            deadline,
            len(self.attempts),
            self,
        )
        attempt.body_stream = self.request.body_stream
        attempt.sink_factory = self.open_response_stream
        attempt.on_response_started = self.response_started
        attempt.response_sizes = self.observer.response_sizes(self.request.request_class)
        if action.send_within > 0:
            attempt.send_deadline = now + action.send_within
        self.attempts.append(attempt)
        self.in_flight_count += 1
        return attempt

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Report the end of an attempt to the observer; called once by the attempt itself."""
        self.may_have_run = self.may_have_run or not result.outcome.proves_not_executed
        self.observer.attempt_ended(self, attempt, result)

    def open_response_stream(self, attempt: UpstreamAttempt, head: ResponseHead) -> StreamSink | None:
        """Return the sink for a response too long to buffer, or None if it can't be forwarded."""
        return self.observer.start_response_stream(self, attempt, head)

    def response_started(self, attempt: UpstreamAttempt) -> None:
        """Report the first byte of a response to the observer; called once by the attempt itself."""
        self.observer.response_started(self, attempt)

    def extend_attempt_deadlines(self, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """Apply the request's new deadline to its attempts in flight."""
        for attempt in self.attempts:
            if not attempt.has_ended:
                attempt.extend_deadline(self.deadline, now, loop)

    def time_out_blocked_attempts(self) -> None:
        """End the attempts whose endpoint does not take the rest of a streamed body.

        A response that one of them has begun is forwarded instead.
        """
        if any(not attempt.has_ended and attempt.forward_begun_response() for attempt in self.attempts):
            return
        for attempt in list(self.attempts):
            connection = attempt.connection
            if not attempt.has_ended and connection is not None and connection.is_writing_paused:
                attempt.time_out()

    def cancel_unsent_attempts(self) -> None:
        """End the attempts that have not been sent; one that is sending a streamed body may finish."""
        for attempt in list(self.attempts):
            is_streaming_body = attempt.is_sending_started and attempt.body_stream is not None
            is_sent = attempt.written_at is not None or is_streaming_body
            if not attempt.has_ended and not is_sent:
                attempt.end(AttemptResult(Outcome.NOT_SENT))

    def cancel_obsolete_attempts(self) -> None:
        """End the attempts that must not continue once the request is answered.

        These are the attempts that are not completely written, and the one whose response was streamed. All
        others continue, since the policy engine still uses their outcome and units.
        """
        for attempt in self.attempts:
            is_unwritten = attempt.written_at is None
            if not attempt.has_ended and (is_unwritten or attempt is self.streaming_attempt):
                attempt.end(AttemptResult(Outcome.NOT_SENT if is_unwritten else Outcome.CANCELLED))

    def stop_watchdog(self) -> None:
        """Cancel the watchdog timer if it is set."""
        if self.watchdog_timer is not None:
            self.watchdog_timer.cancel()

    def respond(self, status: int | None, body: bytes, headers: bytes) -> None:
        """Send the final response, or end the streamed one; a status of None sends nothing."""
        response = self.response_channel
        self.response_channel = None
        if status is None or response is None:
            return
        if self.streaming_attempt is None:
            response.send(status, body, headers)
        elif status == HTTPStatus.OK:
            response.end_stream()
        else:
            response.abort_stream()
