"""Outgoing TCP connections, retried while the process or the system is short of descriptors."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from quota_gateway.sockets.addresses import Address

# No descriptor or kernel memory for one more socket: passes once other connections are closed.
RESOURCE_EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
RETRY_DELAY = 0.02  # seconds; the connections that were closed to free descriptors have released them by then

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


async def connect_with_retry(
    protocol_factory: Callable[[], ProtocolT],
    address: Address,
    on_descriptor_exhaustion: Callable[[], None],
) -> ProtocolT:
    """Connect to `address` (host, port) and return the connection's protocol.

    While no descriptor is left for the socket, `on_descriptor_exhaustion` is called to free some, and the
    connect is retried after RETRY_DELAY. There is no limit on retries: the caller sets a timeout.

    Raises OSError if the address refuses the connection or can't be reached.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            _, protocol = await loop.create_connection(protocol_factory, *address)
            return protocol
        except OSError as error:
            if error.errno not in RESOURCE_EXHAUSTION_ERRNOS:
                raise
        on_descriptor_exhaustion()
        await asyncio.sleep(RETRY_DELAY)


def ignore_descriptor_exhaustion() -> None:
    """Do nothing: the handler for a caller that has no connections to close."""
