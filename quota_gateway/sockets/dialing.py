"""Outgoing TCP connections, retried while the process or the system lacks descriptors or memory."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from quota_gateway.sockets.addresses import Address

# The system has no descriptor or memory for another socket. This is transient, and closing connections of
# this process would help little: other processes take what it frees.
SYSTEM_SHORTAGE_ERRNOS = frozenset({errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
RETRY_DELAY = 0.02  # seconds between retries; closed connections have released their descriptors by then

ProtocolT = TypeVar("ProtocolT", bound=asyncio.BaseProtocol)


async def connect_with_retry(
    protocol_factory: Callable[[], ProtocolT],
    address: Address,
    on_descriptor_exhaustion: Callable[[], None],
) -> ProtocolT:
    """Connect to `address` (host, port) and return the connection's protocol.

    While this process or the system has no descriptor or memory for the socket, the connect is retried after
    RETRY_DELAY. If this process has no descriptor left, `on_descriptor_exhaustion` is called before the delay
    to free some. The number of retries is unlimited: the caller sets a timeout.

    Raises OSError if the address refuses the connection or can't be reached.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            _, protocol = await loop.create_connection(protocol_factory, *address)
            return protocol
        except OSError as error:
            if error.errno == errno.EMFILE:
                on_descriptor_exhaustion()
            elif error.errno not in SYSTEM_SHORTAGE_ERRNOS:
                raise
        await asyncio.sleep(RETRY_DELAY)


def ignore_descriptor_exhaustion() -> None:
    """Do nothing; the handler for callers that have no connections to close."""
