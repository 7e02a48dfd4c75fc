"""Listening sockets: bound here, or inherited from the platform, which holds them across processes."""

from __future__ import annotations

import socket

BACKLOG = 1024


def bind(address: tuple[str, int]) -> socket.socket:
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


def inherit(descriptor: int) -> socket.socket:
    """The platform's socket, which others accept from too: closing it here ends nothing that waits there."""
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.detach()
        raise OSError(f"descriptor {descriptor} does not listen")
    listener.setblocking(False)
    return listener
