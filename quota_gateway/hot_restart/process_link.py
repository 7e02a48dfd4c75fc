"""The connection between two processes of a gateway."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

from quota_gateway.hot_restart.messages import Message, decode_message, encode_message

MAX_MESSAGE_SIZE = 16 * 1024 * 1024  # bytes; enough for the state of a hundred thousand customers

log = logging.getLogger("quota_gateway")


class ProcessLinkOwner(Protocol):
    """Interface through which a link reports to its owner."""

    def link_opened(self, link: ProcessLink) -> None:
        """Handle a link that has opened."""

    def link_closed(self, link: ProcessLink) -> None:
        """Handle the end of an open link: the other process closed it or has ended."""

    def handle_message(self, link: ProcessLink, message: Message) -> None:
        """Handle a message from the other process."""


class ProcessLink(asyncio.Protocol):
    """Sends and receives messages over a Unix socket."""

    def __init__(self, owner: ProcessLinkOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()  # start of a message that is not complete yet

    def send(self, message: Message) -> None:
        """Write a message; does nothing if the link is closed."""
        if self.transport is not None:
            self.transport.write(encode_message(message))

    def close(self) -> None:
        """Abort the connection; the owner is notified when the event loop calls connection_lost."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the opened link to the owner."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self.owner.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete messages to the owner; close the link if one of them can't be handled."""
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        try:
            for line in lines:
                message = decode_message(line)
                if message is not None:
                    self.owner.handle_message(self, message)
        except Exception:  # the other process may run any version: its messages must not stop this one
            log.exception("failed to process a message from the other process")
            self.close()
        if len(self.buffer) > MAX_MESSAGE_SIZE:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed link to the owner, unless it was never open."""
        if self.transport is not None:
            self.transport = None
            self.owner.link_closed(self)
