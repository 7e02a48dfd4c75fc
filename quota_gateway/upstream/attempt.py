"""One attempt to have a request served by an endpoint, and the result it ends with.

An attempt is sent at most once, on one connection. Whether the request may be retried depends on how far
the attempt came, which its result shows; the policy engine decides on it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from quota_gateway.body_streaming import RequestBodyStream, ResponseHead, StreamSink, StreamSource
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import Refusal

MIN_TIME_BUDGET = 0.001  # seconds; X-Budget has three decimals, and 0 would say that no time is left


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the response's content if it was a complete and successful one."""

    outcome: Outcome
    body: bytes = b""
    units: float = 0.0  # billed by the endpoint; 0 if it named none
    headers: bytes = b""  # the header lines that are forwarded with the body


def refused_result(refusal: Refusal) -> AttemptResult:
    """Return the result of an attempt that may not be sent."""
    # by then the time for a repeat is over, which says nothing of the client
    outcome = Outcome.CONNECT_FAILED if refusal is Refusal.WINDOW_OVER else Outcome.NOT_SENT
    return AttemptResult(outcome)


class AttemptOwner(Protocol):
    """The request that an attempt belongs to; times are seconds."""

    answered: bool
    attempt_start_limit: float | None  # set when the client half-closes
    client_deadline: float  # until when the client waits; infinite while its body is still on its way

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        """Take the result; called exactly once for each attempt."""

    def refusal(self, send_deadline: float | None, now: float) -> Refusal | None:
        """Return why an attempt may not be sent, asked again after a connect; None if it may."""


class AttemptConnection(StreamSource, Protocol):
    """What an attempt needs of the connection that carries it."""

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Close the connection if it still carries `attempt`."""

    def close_idle_siblings(self) -> None:
        """Close all idle connections to the same endpoint."""


@dataclass(slots=True, eq=False, repr=False)
class UpstreamAttempt:
    """One attempt: what is sent, to which endpoint, until when, and how far it came.

    Times are seconds on the pool's clock.
    """

    endpoint_id: str
    head: bytes  # request line and header lines but for X-Budget, and for the framing of a streamed body
    body: bytes
    started_at: float
    deadline: float
    index: int  # among the attempts of its request, from 0
    owner: AttemptOwner | None  # None once the attempt has ended
    body_stream: RequestBodyStream | None = None  # in place of `body`, for one too long to be buffered
    send_deadline: float | None = None  # for a send that has to wait for a connect; None: `deadline` alone
    # Called to forward a response that is too long to be buffered. Without it, or a sink from it, such a
    # response is an error.
    start_stream: Callable[[UpstreamAttempt, ResponseHead], StreamSink | None] | None = None
    connection: AttemptConnection | None = None  # set when the attempt is sent
    written_at: float | None = None  # when the kernel took the request's last byte
    connect_task: asyncio.Task[None] | None = None
    timer: asyncio.TimerHandle | None = None  # fires at `deadline`

    @property
    def ended(self) -> bool:
        """Whether the owner has the result."""
        return self.owner is None

    @property
    def written(self) -> bool:
        """Whether a connection carries the attempt, which the endpoint may have begun to execute by then."""
        return self.connection is not None

    @property
    def waiting_since(self) -> float:
        """When the wait for the response began: after the last byte, as a long body takes time to send."""
        return self.started_at if self.written_at is None else self.written_at

    def time_budget(self, now: float) -> float:
        """Return the seconds left to the endpoint."""
        return max(self.deadline - now, MIN_TIME_BUDGET)

    def open_stream(self, head: ResponseHead) -> StreamSink | None:
        """Return the sink for a long response, or None if it can't be forwarded."""
        return self.start_stream(self, head) if self.start_stream is not None else None

    def end(self, result: AttemptResult) -> None:
        """Pass the result to the owner, stop a connect under way and close a connection in use.

        Only the first call counts.
        """
        owner = self.owner
        if owner is None:
            return
        self.owner = None  # also breaks the reference cycle between the two
        if self.timer is not None:
            self.timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.abandon(self)
        owner.attempt_ended(self, result)

    def extend_deadline(self, deadline: float, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """Replace the deadline of an attempt in flight."""
        self.deadline = deadline
        if self.timer is not None:
            self.timer.cancel()
        self.start_timer(now, loop)

    def start_timer(self, now: float, loop: asyncio.AbstractEventLoop) -> None:
        """Have the attempt time out at its deadline."""
        self.timer = loop.call_later(max(self.deadline - now, 0.0), self.time_out)

    def time_out(self) -> None:
        """End the attempt at its deadline; one that still waits for its connect can't have been executed."""
        connection = self.connection
        if connection is None:
            self.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        self.end(AttemptResult(Outcome.TIMED_OUT))
        # A machine that was cut off from the network leaves its idle connections open. What is sent on them
        # may have been executed, while a new connect that fails proves that nothing was.
        connection.close_idle_siblings()
