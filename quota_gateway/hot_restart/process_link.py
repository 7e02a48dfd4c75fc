"""The connection between two processes of a gateway."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

from quota_gateway.hot_restart.messages import Message, decode_message, encode_message

MAX_MESSAGE_SIZE = 16 * 1024 * 1024  # bytes: enough for the state of a hundred thousand customers

log = logging.getLogger("quota_gateway")


class ProcessLinkOwner(Protocol):
    """What a link reports to."""

    def link_opened(self, link: ProcessLink) -> None:
        """Note that a link is open."""

    def link_closed(self, link: ProcessLink) -> None:
        """Note that an open link is closed: the other process closed it or has ended."""

    def handle_message(self, link: ProcessLink, message: Message) -> None:
        """Act on a message of the other process."""


class ProcessLink(asyncio.Protocol):
    """Sends and receives messages over a Unix socket."""

    def __init__(self, owner: ProcessLinkOwner) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()  # the start of a message whose end has not arrived

    def send(self, message: Message) -> None:
        """Write a message; without effect on a closed link."""
        if self.transport is not None:
            self.transport.write(encode_message(message))

    def close(self) -> None:
        """Abort the connection; the owner is notified when the event loop reports its end."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the open link."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has its methods but not its base class
        self.owner.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Pass on the messages that are complete; close the link if one of them can't be processed."""
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        try:
            for line in lines:
                message = decode_message(line)
                if message is not None:
                    self.owner.handle_message(self, message)
        except Exception:  # the other process may be of any version: its messages must not stop this one
            log.exception("could not process a message of the other process")
            self.close()
        if len(self.buffer) > MAX_MESSAGE_SIZE:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed link, unless it was never open."""
        if self.transport is not None:
            self.transport = None
            self.owner.link_closed(self)
