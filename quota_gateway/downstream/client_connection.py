"""One client connection: it receives requests and sends the responses in the same order."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.downstream.flow_control import FlowControlledConnection, Listener
from quota_gateway.downstream.half_close import DispatchingListener, HalfClose
from quota_gateway.downstream.input_turn import InputTurn, TurnBudget
from quota_gateway.downstream.request_handler import RequestHandler
from quota_gateway.downstream.request_reader import held_bytes
from quota_gateway.downstream.request_router import RequestRouter
from quota_gateway.downstream.response_queue import FlushResult, ResponseQueue
from quota_gateway.downstream.response_writer import ResponseWriter
from quota_gateway.invariants import Invariant
from quota_gateway.model.close_reasons import CloseReason
from quota_gateway.sockets.kernel_state import has_peer_closed

MAX_PIPELINED_REQUESTS = 16  # unanswered requests on one connection at which reading pauses
MAX_PARSE_BYTES = 1024  # bytes parsed at a time; bounds the requests accepted beyond MAX_PIPELINED_REQUESTS
MAX_BODY_PARSE_BYTES = 8192  # the same inside a body


class RequestListener(Listener, DispatchingListener, Protocol):
    """The parts of a listener that its connections use."""

    router: RequestRouter
    connections: set[ClientConnection]
    turn_budget: TurnBudget

    def is_shutting_down(self) -> bool:
        """Return True while connections close after their pending responses."""


class ClientConnection(FlowControlledConnection):
    """Coordinates the reader, the responses and the transport of one connection."""

    listener: RequestListener

    def __init__(self, listener: RequestListener, waiting_since: float) -> None:
        """Initialize without a request; input may have been waiting since `waiting_since`, in seconds."""
        super().__init__(listener, waiting_since)
        self.request_handler = RequestHandler(self, listener.router, self.last_read_at)
        self.responses = ResponseQueue()
        self.idle_since = self.last_read_at  # seconds: time at which the latest response was written
        self.half_close = HalfClose(listener, self.responses)
        self.turn = InputTurn(listener.loop, self.process_unread)
        self.body_stream_capacity = listener.buffers.stream_capacity

    @property
    def in_request(self) -> bool:
        """True while a request has been read in part only."""
        return self.request_handler.in_request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection with its listener (asyncio)."""
        super().connection_made(transport)
        self.listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; they are discarded once no further request is accepted."""
        if self.input_ended:
            return
        self.last_read_at = self.listener.clock()
        self.request_handler.received_at = self.last_read_at
        self.request_handler.arrived_at = self.arrival_time(data)
        self.unread = self.unread + data if self.unread else data
        self.process_unread()
        if len(data) >= self.read_size:  # the event loop would read on at once
            self.turn.end()
            self.update_reading()
        self.update_memory()

    def process_unread(self) -> None:
        """Parse received bytes as far as the limits allow, then pause or resume reading."""
        request_handler = self.request_handler
        first_request = request_handler.request_count
        last_request = first_request + self.listener.turn_budget.turn_size()
        while self.unread and not (self.input_ended or self.is_full() or request_handler.error_pause_timer):
            if request_handler.request_count >= last_request:
                self.turn.end()
            if self.turn.is_over:
                break
            size = MAX_BODY_PARSE_BYTES if request_handler.is_in_body() else MAX_PARSE_BYTES
            data = self.unread[:size]
            self.unread = self.unread[size:]
            request_handler.parse(data)
            if self.unread:
                self.memory.update(count_held_bytes(self))
        self.listener.turn_budget.record_requests(request_handler.request_count - first_request)
        self.update_reading()

    def is_full(self) -> bool:
        """Return True while no further request or body data can be accepted."""
        body_stream = self.request_handler.body_stream
        if body_stream is not None and body_stream.is_full():
            return True
        if self.responses and not self.memory.may_grow:
            return True
        return self.write_paused or len(self.responses) >= MAX_PIPELINED_REQUESTS

    def update_memory(self) -> None:
        """Count the bytes that this connection buffers, and go on reading if that was paused for memory."""
        self.memory.update(count_held_bytes(self))
        if self.read_paused and not self.request_handler.parsing:
            self.process_unread()

    def update_reading(self) -> None:
        """Pause reading while a limit is reached, which bounds the memory that a client can use."""
        pause = self.is_full() or bool(self.unread) or self.request_handler.error_pause_timer is not None
        pause = pause or self.is_short_of_memory() or self.turn.is_over
        if self.transport is None or pause == self.read_paused or self.input_ended:
            return
        if pause:
            self.pause_reading()
        else:
            self.last_read_at = self.listener.clock()
            self.resume_reading()

    def pause_writing(self) -> None:
        """Pause reading and the source of the first response while the client doesn't read (asyncio)."""
        super().pause_writing()
        self.responses.pause_source()
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume responses and requests once the client reads again (asyncio)."""
        super().resume_writing()
        self.responses.resume_source()
        self.process_unread()

    def flush(self) -> None:
        """Write the responses that are ready, up to the first request without a response."""
        if self.transport is None:
            return
        result = self.responses.flush(self.transport)
        if result is FlushResult.STREAMING:
            return
        if result is FlushResult.CLOSE:
            self.close_gracefully()
            return
        self.request_handler.send_continue()
        self.idle_since = self.listener.clock()
        if self.input_ended and not self.responses:
            self.close_gracefully()
        elif self.unread and not self.request_handler.parsing:
            self.process_unread()
        else:
            self.update_reading()

    def closes_after(self, writer: ResponseWriter) -> bool:
        """Return True for the last response before a shutdown or drain closes the connection.

        No further request is accepted then. An earlier response must not announce the close: the requests
        after it would get no response.
        """
        partial_request = self.in_request and writer is not self.request_handler.streaming_writer
        if not self.listener.is_shutting_down() or self.unread or partial_request:
            return False
        is_last = bool(self.responses) and self.responses[-1] is writer  # empty once the connection is lost
        if not is_last or self.has_unread_input():
            return False
        self.input_ended = True
        return True

    def eof_received(self) -> bool:
        """Handle the client's end of stream (asyncio); True keeps the connection open for responses.

        The client may still read: only a broken connection shows that it doesn't.
        """
        self.request_handler.abort_incomplete_body()
        self.input_ended = True
        if self.closing or not self.responses:
            return False
        self.half_close.start(self.earliest_close())
        return True

    def handle_disconnect(self, broken: bool) -> None:
        """Reset a broken connection; otherwise handle the half-close."""
        if broken:
            self.reset()
        else:
            self.half_close.start(self.listener.loop_monitor.previous_iteration_at)

    def client_disconnected(self) -> bool:
        """Return True if the client has closed its side, or may have; the kernel knows before the loop."""
        if self.transport is None or self.half_close.is_started:
            return True
        return has_peer_closed(self.descriptor) or self.may_have_hidden_close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection and cancel its requests (asyncio)."""
        self.listener.connections.discard(self)
        self.listener.disconnect_monitor.unwatch(self.descriptor, self.handle_disconnect)
        self.transport = None
        self.release()
        self.half_close.cancel()
        for request_id in self.responses.pop_incomplete():
            self.listener.dispatcher.client_disconnected(request_id)

    def release(self) -> None:
        """Break the reference cycles of a connection that has ended or never opened, and drop its buffers."""
        super().release()
        self.request_handler.close()
        self.turn.close()

    def is_short_of_memory(self) -> bool:
        """Return True while input is left unread for want of memory; a streamed body goes on."""
        return self.request_handler.body_stream is None and not self.memory.may_grow

    def last_used_at(self) -> float:
        """Return when the connection last carried bytes of a request or response, in seconds."""
        return max(self.idle_since, self.request_handler.received_at)

    def close_because(self, reason: CloseReason) -> None:
        """Close immediately, and count the reason."""
        self.listener.dispatcher.metrics.connections_closed[reason] += 1
        self.close_immediately()

    def before_close(self) -> None:
        """Check the invariant that a connection closes with no request unanswered."""
        unanswered = list(self.responses.unanswered())
        if unanswered:
            self.listener.dispatcher.invariants.record_violation(Invariant.CLOSED_ANSWERED, unanswered)

    def is_idle(self) -> bool:
        """Return True if the connection is open and no request is in flight or partly read."""
        return not (self.responses or self.closing or self.unread or self.in_request)


def count_held_bytes(connection: ClientConnection) -> int:
    """Return the bytes that a connection buffers."""
    held = len(connection.unread) + connection.unsent_bytes()
    return held + held_bytes(connection.request_handler) + connection.responses.held_bytes()
