"""Connection state that the kernel knows before the event loop reports it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

# Bytes of `struct tcp_info` (linux/tcp.h) up to the end of tcpi_last_data_recv, which is in milliseconds;
# Linux only ever appends fields to the struct.
TCP_INFO_SIZE = 56
LAST_DATA_RECEIVED_FORMAT = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
QUEUE_SIZE_FORMAT = struct.Struct("=i")  # the number of bytes in a queue of a socket (man 7 tcp)
MILLISECONDS_PER_SECOND = 1000.0
# Bytes that a receive buffer surely holds: one with fewer unread bytes has room for the peer's close.
RECEIVE_WINDOW_BYTES = 32 * 1024


def has_peer_closed(descriptor: int) -> bool:
    """Return True if the peer has closed its sending side, even if the loop has not reported it yet."""
    return _has_event(descriptor, select.POLLRDHUP)


def has_unread_input(descriptor: int) -> bool:
    """Return True if the kernel holds unread bytes, or an unread end of stream, from the peer."""
    return _has_event(descriptor, select.POLLIN)


def may_hide_close(descriptor: int) -> bool:
    """Return True if so much input is unread that the peer may have closed without this kernel's knowing.

    The peer's close follows its data, which it keeps while the receive buffer of this machine is full.
    """
    return (unread_bytes(descriptor) or 0) >= RECEIVE_WINDOW_BYTES


def seconds_since_last_data(connection: socket.socket) -> float | None:
    """Return how many seconds ago the peer's latest bytes arrived, read or not; None if unknown.

    The end of the stream does not count as data.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(info) < TCP_INFO_SIZE or not info[0]:  # state 0: not a TCP socket of this kernel
        return None
    (milliseconds,) = LAST_DATA_RECEIVED_FORMAT.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / MILLISECONDS_PER_SECOND


def unread_bytes(descriptor: int) -> int | None:
    """Return how many bytes from the peer the kernel holds unread; None if unknown."""
    return _queue_size(descriptor, termios.FIONREAD)


def unacknowledged_bytes(descriptor: int) -> int | None:
    """Return how many written bytes the peer's kernel has not acknowledged; None if unknown."""
    return _queue_size(descriptor, termios.TIOCOUTQ)


def _queue_size(descriptor: int, request: int) -> int | None:
    if descriptor < 0:  # not connected
        return None
    try:
        size = fcntl.ioctl(descriptor, request, bytes(QUEUE_SIZE_FORMAT.size))
    except OSError:
        return None
    (byte_count,) = QUEUE_SIZE_FORMAT.unpack(size)
    return int(byte_count)


def _has_event(descriptor: int, event: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))
