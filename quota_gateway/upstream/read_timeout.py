"""The timeout of a response that has begun, between two of its parts."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from quota_gateway.model.outcomes import Outcome
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt
from quota_gateway.upstream.response_parser import ResponseParser

# Longest time in seconds between parts of a buffered response. Endpoints have the complete response when they
# begin to send it.
RESPONSE_READ_TIMEOUT = 0.5
# Upper limit of the read timeout, as a fraction of the attempt's time: enough must be left for a retry.
READ_TIMEOUT_FRACTION = 0.2
# Longest time in seconds between parts of a streamed response, which can't be retried.
STREAM_READ_TIMEOUT = 10.0
# The same for a streamed response that may still be a short one, and is not likely to be long.
UNDECIDED_READ_TIMEOUT = 1.0
# Seconds after the client's deadline until such a response may be ended: its request must end soon after.
UNDECIDED_RESPONSE_DELAY = 0.35


class ReadTimeout:
    """Runs while a response is incomplete and its connection is read; each part restarts it."""

    __slots__ = ("_clock", "_loop", "_read_at", "_seconds", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Initialize a stopped timeout; `clock` returns seconds."""
        self._loop = loop
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self._read_at = 0.0  # seconds: when the latest part arrived
        self._seconds = 0.0  # from the latest part until the timer fires

    @property
    def is_running(self) -> bool:
        """Whether the timeout runs."""
        return self._timer is not None

    def restart(self, attempt: UpstreamAttempt, response: ResponseParser) -> None:
        """Start anew, as a part of the response has just arrived or reading has been resumed."""
        self._read_at = self._clock()
        self.update(attempt, response)

    def update(self, attempt: UpstreamAttempt, response: ResponseParser) -> None:
        """Apply the timeout that the response has now, counted from its latest part."""
        self.stop()
        timeout = self._timeout(attempt, response)
        if timeout is not None:
            self._seconds = timeout
            delay = max(self._read_at + timeout - self._clock(), 0.0)
            self._timer = self._loop.call_later(delay, self._read_timed_out, attempt, response)

    def stop(self) -> None:
        """Stop the timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read_timed_out(self, attempt: UpstreamAttempt, response: ResponseParser) -> None:
        timeout = self._timeout(attempt, response)
        if timeout is not None and timeout > self._seconds:
            self.update(attempt, response)  # other responses have shown meanwhile that this is a long one
        else:
            attempt.end(AttemptResult(Outcome.BROKEN_RESPONSE))

    def _timeout(self, attempt: UpstreamAttempt, response: ResponseParser) -> float | None:
        """Return the seconds from the latest part to the next one, None for until the attempt's deadline."""
        if response.sink is not None:
            is_long = not response.may_be_short or attempt.has_likely_long_response(response.body_size)
            return STREAM_READ_TIMEOUT if is_long else undecided_read_timeout(attempt, self._read_at)
        waits_for_deadline = response.is_length_unknown and attempt.sink_factory is not None
        return None if waits_for_deadline else buffered_read_timeout(attempt)


def buffered_read_timeout(attempt: UpstreamAttempt) -> float:
    """Return the seconds to wait for the next part of a response that is buffered."""
    attempt_time = attempt.deadline - attempt.waiting_since
    return max(min(RESPONSE_READ_TIMEOUT, READ_TIMEOUT_FRACTION * attempt_time), 0.0)


def undecided_read_timeout(attempt: UpstreamAttempt, read_at: float) -> float:
    """Return the seconds to wait after `read_at` for more of a streamed response that may be a short one."""
    owner = attempt.owner
    if owner is None or math.isinf(owner.client_deadline):
        return STREAM_READ_TIMEOUT
    return max(owner.client_deadline + UNDECIDED_RESPONSE_DELAY - read_at, UNDECIDED_READ_TIMEOUT)
