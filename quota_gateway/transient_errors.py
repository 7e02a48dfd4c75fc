"""Classification of system call errors that may go away by themselves, so that the call is retried."""

from __future__ import annotations

import errno

# Errors from a temporary lack of resources, or from a temporary failure of a file system
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
    """Return whether the call that raised `error` may succeed if it is retried."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS
