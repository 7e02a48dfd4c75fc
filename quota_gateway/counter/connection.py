"""One pipelined RESP2 connection to the counter."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

import hiredis

from quota_gateway.counter.reply import CounterResult, parse_reply
from quota_gateway.model.outcomes import Outcome

# A connection is replaced once its oldest call has waited for this multiple of the call timeout.
STALL_FACTOR = 10.0
# Seconds after which an idle connection is not reused: the counter closes such connections without notice.
IDLE_TIMEOUT = 3.0


class CounterCall:
    """One call to the counter.

    It is completed exactly once. A call that timed out stays among the calls in flight, because replies are
    matched to calls by their order alone.
    """

    __slots__ = ("command", "completed", "name", "started_at", "timer", "written")

    def __init__(self, name: str, command: bytes, started_at: float) -> None:
        self.name = name
        self.command = command  # in RESP2
        self.started_at = started_at
        self.written = False
        self.completed = False
        self.timer: asyncio.TimerHandle | None = None


class CounterConnectionOwner(Protocol):
    """Interface through which a connection reports to its owner."""

    timeout: float  # the configured timeout of a call, in seconds

    def reply_received(self, call: CounterCall) -> None:
        """Handle the arrival of a reply, possibly after its call timed out."""

    def complete(self, call: CounterCall, result: CounterResult) -> None:
        """Report a call's result unless the call is already completed."""

    def connection_ended(self, connection: CounterConnection) -> None:
        """Handle a connection that was closed or could not be opened."""


class CounterConnection(asyncio.Protocol):
    """A connection, the calls that are queued until it is open, and the calls in flight on it."""

    def __init__(self, owner: CounterConnectionOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.pending: list[CounterCall] = []  # calls to write once the connection is open
        self.in_flight: deque[CounterCall] = deque()  # written calls without a reply, oldest first
        self.reader = hiredis.Reader()
        self.last_used_at = 0.0  # when the last call was sent, in seconds
        self.write_paused = False  # the kernel has not yet taken all of the last written call
        self.closed = False
        self.draining = False

    def is_usable(self, now: float) -> bool:
        """Return whether the next call can use this connection: it is not closed, stalled or long idle."""
        if self.closed or (self.transport is not None and self.transport.is_closing()):
            return False
        if self.in_flight:
            return now - self.in_flight[0].started_at < STALL_FACTOR * self.owner.timeout
        return now - self.last_used_at < IDLE_TIMEOUT

    def send(self, call: CounterCall) -> None:
        """Write a call, or queue it until the connection is open."""
        self.last_used_at = call.started_at
        if self.transport is None:
            self.pending.append(call)
        else:
            self._write(call, self.transport)

    def drain(self) -> None:
        """Close the connection once its last call has its reply; no further call may be sent."""
        self.draining = True
        if not (self.in_flight or self.pending):
            self.close()

    def close(self) -> None:
        """Abort the connection; its calls are completed when the event loop calls connection_lost."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def fail_calls(self) -> None:
        """Complete all calls of a connection that ended or could not be opened.

        Calls that were not completely written added nothing and end as CONNECT_FAILED. The others may have
        added their amount and end as TIMED_OUT.
        """
        self.closed = True
        self.owner.connection_ended(self)
        if self.write_paused and self.in_flight:
            self.owner.complete(self.in_flight.pop(), CounterResult(Outcome.CONNECT_FAILED))
        while self.in_flight:
            self.owner.complete(self.in_flight.popleft(), CounterResult(Outcome.TIMED_OUT))
        for call in self.pending:
            self.owner.complete(call, CounterResult(Outcome.CONNECT_FAILED))
        self.pending = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the calls that were queued while the connection was being opened."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        # with a limit of 0, pause_writing is called for every write that the kernel does not take completely
        self.transport.set_write_buffer_limits(high=0)
        queued_calls = self.pending
        self.pending = []
        for call in queued_calls:
            if not call.completed:  # a call that timed out while queued was reported as not written
                self._write(call, self.transport)

    def pause_writing(self) -> None:
        """Record that part of the last write is still buffered."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Record that the kernel has taken all writes."""
        self.write_paused = False

    def data_received(self, data: bytes) -> None:
        """Complete the calls whose replies arrived; close the connection if replies can't be matched."""
        self.reader.feed(data)
        try:
            while (reply := self.reader.gets()) is not False:
                if not self._handle_reply(reply):
                    self.close()
                    return
        except hiredis.ProtocolError:
            self.close()

    def eof_received(self) -> bool:
        """Let the transport close itself."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the calls that have no reply."""
        self.fail_calls()

    def _write(self, call: CounterCall, transport: asyncio.Transport) -> None:
        call.written = True
        self.in_flight.append(call)
        transport.write(call.command)

    def _handle_reply(self, reply: object) -> bool:
        """Complete the oldest call in flight; return False if the connection has to be closed."""
        if not self.in_flight:
            return False  # a reply without a call: later replies can't be matched to calls either
        result = parse_reply(reply)
        call = self.in_flight.popleft()
        self.owner.reply_received(call)
        self.owner.complete(call, result or CounterResult(Outcome.TIMED_OUT))
        if result is None:
            return False  # the next reply may not belong to the next call
        return bool(self.in_flight) or not self.draining
