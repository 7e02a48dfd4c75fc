"""An attempt to have a request served by an endpoint, and its result.

An attempt is sent at most once, on one connection. Its result shows how far it progressed, from which the
policy engine decides whether the request may be retried.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from quota_gateway.body_streaming import RequestBodyStream, ResponseHead, StreamSink, StreamSource
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import RefusalReason
from quota_gateway.policy.response_sizes import ResponseSizes

# Smallest time budget that is sent to an endpoint, in seconds. X-Budget has three decimals, and 0 would mean
# that no time is left.
MIN_TIME_BUDGET = 0.001
# Smallest time to the first byte, in seconds. The policy engine takes 0 to mean unknown.
MIN_TIME_TO_FIRST_BYTE = 1e-6


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the content of the response if it was complete and successful."""

    outcome: Outcome
    body: bytes = b""
    billed_units: float = 0.0  # units billed by the endpoint; 0 if it reported none
    headers: bytes = b""  # header lines to forward with the body
    body_size: int = field(default=0, compare=False)  # bytes of the whole body, also if it was streamed


def refused_result(refusal: RefusalReason) -> AttemptResult:
    """Return the result of an attempt that may not be sent."""
    # only the time in which a retry may be sent is over; the client may still be waiting
    outcome = Outcome.CONNECT_FAILED if refusal is RefusalReason.WINDOW_OVER else Outcome.NOT_SENT
    return AttemptResult(outcome)


class AttemptOwner(Protocol):
    """The request that an attempt belongs to. Times are in seconds."""

    answered: bool
    attempt_start_deadline: float | None  # when attempts may no longer start; set when the client half-closes
    client_deadline: float  # when the client stops waiting; infinite while a streamed body is incomplete

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Handle the result; called exactly once per attempt."""

    def find_refusal(self, send_deadline: float | None, now: float) -> RefusalReason | None:
        """Return why an attempt may not be sent at `now`, or None if it may; repeated after a connect."""


class AttemptConnection(StreamSource, Protocol):
    """What an attempt needs from the connection on which it is sent."""

    is_writing_paused: bool  # the kernel has yet to accept written data

    def forward_begun_response(self, attempt: UpstreamAttempt) -> bool:
        """Start forwarding the response if it has begun and may be long; return whether it is forwarded."""

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Close the connection if it still carries `attempt`."""

    def close_idle_siblings(self) -> None:
        """Close all idle connections to the same endpoint."""


@dataclass(slots=True, eq=False, repr=False)
class UpstreamAttempt:
    """An attempt: the request to send, its endpoint, its deadline and its progress.

    Times are in seconds on the pool's clock.
    """

    endpoint_id: str
    head: bytes  # request line and header lines, without X-Budget and the framing of a streamed body
    body: bytes
    started_at: float
    deadline: float
    index: int  # position among the attempts of its request, from 0
    owner: AttemptOwner | None  # None once the attempt has ended
    body_stream: RequestBodyStream | None = None  # replaces a `body` that is too long to buffer
    send_deadline: float | None = None  # for sending after a connect; None if only `deadline` applies
    # Opens a sink for a response that is too long to buffer. If it is None or returns None, such a response
    # is an error.
    sink_factory: Callable[[UpstreamAttempt, ResponseHead], StreamSink | None] | None = None
    # Called when a successful response has begun that is not forwarded yet.
    on_response_started: Callable[[UpstreamAttempt], None] | None = None
    response_sizes: ResponseSizes | None = None  # of the request's class; None if they are unknown
    connection: AttemptConnection | None = None  # set when sending starts
    written_at: float | None = None  # when the kernel accepted the request's last byte
    connect_task: asyncio.Task[None] | None = None
    deadline_timer: asyncio.TimerHandle | None = None  # fires at `deadline`
    is_response_streamed: bool = False  # a long response is being forwarded
    response_bytes: int = 0  # how much of the response has been received
    # Seconds from `waiting_since` to the first byte of a successful response; None until then.
    time_to_first_byte: float | None = None

    @property
    def has_ended(self) -> bool:
        """Whether the attempt has ended."""
        return self.owner is None

    @property
    def is_sending_started(self) -> bool:
        """Whether sending has started, so that the endpoint may have begun to execute the request."""
        return self.connection is not None

    @property
    def waiting_since(self) -> float:
        """When the wait for the response began, in seconds.

        That is once the last byte is written, since a long body takes time to send; until then, the start.
        """
        return self.started_at if self.written_at is None else self.written_at

    def time_budget(self, now: float) -> float:
        """Return the seconds that are left for the endpoint at `now`."""
        return max(self.deadline - now, MIN_TIME_BUDGET)

    def open_stream(self, head: ResponseHead) -> StreamSink | None:
        """Return the sink for a long response, or None if it can't be forwarded."""
        sink = self.sink_factory(self, head) if self.sink_factory is not None else None
        self.is_response_streamed = sink is not None
        return sink

    def response_started(self, now: float) -> None:
        """Record the first byte of a successful response at `now`; only the first call has an effect."""
        if self.time_to_first_byte is not None:
            return
        self.time_to_first_byte = max(now - self.waiting_since, MIN_TIME_TO_FIRST_BYTE)
        if self.on_response_started is not None:
            self.on_response_started(self)

    def has_likely_long_response(self, size: int) -> bool:
        """Return whether a response with `size` bytes of its body so far is likely to be a long one."""
        return self.response_sizes is not None and self.response_sizes.is_likely_long(size)

    def end(self, result: AttemptResult) -> None:
        """End the attempt: cancel its connect, close its connection and pass the result to the owner.

        Only the first call has an effect.
        """
        owner = self.owner
        if owner is None:
            return
        self.owner = None  # breaks the reference cycle between attempt and owner, as the next two lines do
        self.sink_factory = None
        self.on_response_started = None
        if self.body_stream is not None:
            self.body_stream.detach_attempt()
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.abandon(self)
        owner.attempt_ended(self, result)

    def extend_deadline(self, deadline: float, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """Replace the deadline of an attempt in flight."""
        self.deadline = deadline
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.start_timer(now, loop)

    def start_timer(self, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """Start the timer that ends the attempt at its deadline."""
        self.deadline_timer = loop.call_later(max(self.deadline - now, 0.0), self._deadline_reached)

    def forward_begun_response(self) -> bool:
        """Forward a response that has begun and may be long; return whether one is being forwarded."""
        if self.is_response_streamed:
            return True
        return self.connection is not None and self.connection.forward_begun_response(self)

    def _deadline_reached(self) -> None:
        """End the attempt, unless a response has begun that may be too long to have arrived by now."""
        if not self.forward_begun_response():
            self.time_out()

    def time_out_write(self) -> None:
        """End the attempt, since its endpoint takes nothing, unless a response that it has begun goes on."""
        if not self.forward_begun_response():
            self.time_out()

    def time_out(self) -> None:
        """End the attempt, since its endpoint takes too long.

        It can't have been executed before it has a connection, nor before its last byte is written.
        """
        connection = self.connection
        if connection is None:
            self.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        outcome = Outcome.WRITE_TIMED_OUT if self.written_at is None else Outcome.TIMED_OUT
        self.end(AttemptResult(outcome))
        # A machine that lost its network leaves its idle connections open. A request sent on one of them may
        # have been executed, while a failed connect proves that it was not.
        connection.close_idle_siblings()
