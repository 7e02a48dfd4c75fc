"""Timeouts of client connections: slow requests, unread responses, idle and closing connections."""

from __future__ import annotations

READ_TIMEOUT = 2.5  # seconds for a complete head, and for the first byte of a new connection
BODY_STALL_TIMEOUT = 2.0  # seconds without a byte of a body of which little has come
LARGE_BODY_STALL_TIMEOUT = 6.0  # seconds, of a body of which more than the buffered size has come
MIN_BODY_RATE = 16 * 1024  # bytes a second; a body below it never ends. Not for one that is large already
IDLE_TIMEOUT = 10.0  # seconds without a request, after which a connection is closed
CROWDED_IDLE_TIMEOUT = 2.1  # seconds; the same while many connections are open
CROWDED_FRACTION = 0.5  # of the connections that may be open, from which the shorter timeout holds
UNREAD_RESPONSE_TIMEOUT = 10.0  # seconds in which a client must read some of what was written to it
LINGER_TIMEOUT = 1.0  # seconds for a client to read the last response before its connection is reset
SENDING_LINGER_TIMEOUT = 4.0  # seconds; a client that sends a large body may not read until then
