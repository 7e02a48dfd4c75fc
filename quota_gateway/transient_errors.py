"""Errors of system calls that may pass by themselves: what failed so is tried again."""

from __future__ import annotations

import errno

# The process or the system is short of something, or a folder or file system fails for a while.
TRANSIENT_ERRNOS = frozenset(
    {
        errno.EAGAIN,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
        errno.ESTALE,
        errno.ETIMEDOUT,
    }
)


def is_transient(error: BaseException | None) -> bool:
    """Return whether the call that raised this may succeed when it is made again."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS
