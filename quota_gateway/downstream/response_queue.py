"""The pending responses of one client connection, in the order of their requests."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from enum import Enum, auto

from quota_gateway.downstream.response_writer import ResponseWriter


class FlushResult(Enum):
    """Why a flush of the responses stopped."""

    WAITING = auto()  # the next response has not started, or there is none
    STREAMING = auto()  # the first response has started and is incomplete
    CLOSE = auto()  # the response just written is the last one on the connection


class ResponseQueue(deque[ResponseWriter]):
    """Responses that are not completely written; only the first one may write to the transport."""

    __slots__ = ()

    def is_first(self, writer: ResponseWriter | None) -> bool:
        """Return True if no response precedes `writer`; None stands for the response to the next request."""
        return not self or self[0] is writer

    def flush(self, transport: asyncio.Transport) -> FlushResult:
        """Write all data that is ready, up to the first incomplete response."""
        while self and self[0].unsent is not None:
            writer = self[0]
            data = writer.start_sending()
            if data:
                transport.write(data)
            if writer.streaming:
                if writer.source is not None and not writer.connection.write_paused:
                    writer.source.resume()
                return FlushResult.STREAMING
            self.popleft()
            if not writer.keep_alive:
                return FlushResult.CLOSE
        return FlushResult.WAITING

    def held_bytes(self) -> int:
        """Return the bytes of requests that are in progress, and of responses that are not written yet."""
        return sum(writer.request_bytes + len(writer.unsent or b"") for writer in self)

    def pause_source(self) -> None:
        """Pause the upstream of the first response while the client doesn't read."""
        if self and self[0].source is not None:
            self[0].source.pause()

    def resume_source(self) -> None:
        """Resume the upstream of the first response."""
        if self and self[0].source is not None:
            self[0].source.resume()

    def unanswered(self) -> Iterator[int]:
        """Yield the ids of submitted requests whose response has not started when they are reached."""
        for writer in list(self):
            if writer.request_id and writer.unsent is None:
                yield writer.request_id

    def pop_incomplete(self) -> Iterator[int]:
        """Clear the queue; yield the ids of submitted requests whose response is incomplete.

        The first step of the iteration clears the queue. Each response is checked when it is reached.
        """
        writers = list(self)
        self.clear()
        for writer in writers:
            if writer.request_id and (writer.unsent is None or writer.streaming):
                yield writer.request_id
