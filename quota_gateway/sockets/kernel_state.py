"""What the kernel knows of a connection before the event loop reports it."""

from __future__ import annotations

import select
import socket
import struct

# `struct tcp_info` of linux/tcp.h up to tcpi_last_data_recv; Linux only ever adds to its end.
TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
MILLISECONDS_PER_SECOND = 1000.0


def has_peer_closed(descriptor: int) -> bool:
    """Return True if the peer has ended its sending, also where the loop has not reported it yet."""
    return _polls(descriptor, select.POLLRDHUP)


def has_unread_input(descriptor: int) -> bool:
    """Return True if the kernel holds bytes of the peer, or its end, that have not been read."""
    return _polls(descriptor, select.POLLIN)


def seconds_since_last_data(connection: socket.socket) -> float | None:
    """Return how long ago the latest bytes came from the peer, read or not; None where that is not known.

    The end of the stream counts as no data.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(info) < TCP_INFO_SIZE or not info[0]:  # state 0: the socket is not one of this kernel's TCP
        return None
    (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / MILLISECONDS_PER_SECOND


def _polls(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))
