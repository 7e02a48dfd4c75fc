"""Listening sockets: bound by this process, or inherited from the platform that started it."""

from __future__ import annotations

import asyncio
import socket

from quota_gateway.sockets.addresses import Address
from quota_gateway.transient_errors import is_transient

RETRY_DELAY = 0.1  # seconds after which a socket that could not be had is tried again
BACKLOG = 1024  # connections that the kernel may queue: a burst of clients, until the loop accepts them


def bind(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens at `address` (host, port), an IPv6 one if host has a colon.

    Raises OSError if the address is in use or isn't one of this machine's.
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


async def bind_when_possible(address: Address, timeout: float) -> socket.socket:
    """Return a listening socket like `bind`; a system short of sockets is asked again for `timeout` seconds.

    Raises OSError for an error that does not pass, or has not passed by then.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + timeout
    while True:
        try:
            return bind(address)
        except OSError as error:
            if not is_transient(error) or loop.time() >= retry_until:
                raise
        await asyncio.sleep(RETRY_DELAY)


def inherit(descriptor: int) -> socket.socket:
    """Return the listening socket at `descriptor`, which the platform opened, as a non-blocking one.

    Other processes accept from the same socket: closing it here leaves its queue of connections to them.

    Raises OSError if the descriptor isn't a listening socket; the descriptor stays open then.
    """
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} does not listen")
    listener.setblocking(False)
    return listener
