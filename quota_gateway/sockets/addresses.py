"""Network addresses: a host and a port, and their text form `host:port`."""

from __future__ import annotations

from typing import TypeAlias

MAX_PORT = 65535  # ports are unsigned 16-bit numbers

Address: TypeAlias = tuple[str, int]
"""Host and port, in the order that socket functions expect."""


def parse_address(text: str) -> Address:
    """Parse `host:port`; the host of an IPv6 address may be in brackets.

    Raises ValueError for text without a host or with a port outside 1..65535.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Return the address as `host:port`."""
    host, port = address
    return f"{host}:{port}"
