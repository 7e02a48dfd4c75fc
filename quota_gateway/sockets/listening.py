"""Listening sockets: bound by this process, or inherited from the platform that started it."""

from __future__ import annotations

import asyncio
import socket

from quota_gateway.sockets.addresses import Address
from quota_gateway.transient_errors import is_transient

RETRY_DELAY = 0.1  # seconds between tries to open a listening socket
BACKLOG = 1024  # connections that the kernel queues in a burst until the event loop accepts them


def bind_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens at `address`, over IPv6 if its host contains a colon.

    Raises OSError if the address is in use or does not belong to this machine.
    """
    listener = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def bind_with_retry(address: Address, timeout: float) -> socket.socket:
    """Return a listening socket as `bind_listener` does; transient errors are retried for `timeout` seconds.

    Raises OSError for an error that is not transient, or that persists until then.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + timeout
    while True:
        try:
            return bind_listener(address)
        except OSError as error:
            if not is_transient(error) or loop.time() >= retry_until:
                raise
        await asyncio.sleep(RETRY_DELAY)


def inherit_listener(descriptor: int) -> socket.socket:
    """Return the listening socket at `descriptor`, opened by the platform, as a non-blocking socket.

    Other processes accept from the same socket: closing it here leaves its queued connections to them.

    Raises OSError if the socket is not listening; the descriptor stays open in that case.
    """
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} is not a listening socket")
    listener.setblocking(False)
    return listener
