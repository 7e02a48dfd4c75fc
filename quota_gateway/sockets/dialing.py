"""Dials where descriptors may be short: idle clients make way, and the dial is tried again."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

LACKING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
AGAIN = 0.02  # seconds until the next try: what makes way is closed by then

P = TypeVar("P", bound=asyncio.BaseProtocol)


async def connect_with_retry(
    factory: Callable[[], P], address: tuple[str, int], short: Callable[[], None]
) -> P:
    """A connection to the address; `short` is called where no descriptor is left for one.

    Goes on until the caller's own limit on time ends it. OSError: refused, or unreachable.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            return (await loop.create_connection(factory, *address))[1]
        except OSError as error:
            if error.errno not in LACKING:
                raise
        short()
        await asyncio.sleep(AGAIN)


def ignore_descriptor_exhaustion() -> None:
    """For a dialler that has no clients beside it."""
