"""The folder that the processes of a gateway share, in which a newer process finds the older one's socket."""

from __future__ import annotations

import contextlib
import os
import socket

SOCKET_NAME = "embersill.handover"  # fixed: processes of other versions look for it
MAX_SOCKET_PATH = 99  # bytes; the kernel allows 107 for the path of a Unix socket

NO_DESCRIPTOR = -1


class SharedFolder:
    """Publishes this process's socket in the folder, and gives the paths of sockets in it."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._descriptor = NO_DESCRIPTOR  # of the folder, opened if the paths in it are too long for sockets

    def socket_path(self, name: str) -> str:
        """Return a path to connect or bind to; a long one leads through a descriptor of the folder."""
        path = os.path.join(self.path, name)
        if len(os.fsencode(path)) <= MAX_SOCKET_PATH:
            return path
        if self._descriptor == NO_DESCRIPTOR:
            self._descriptor = os.open(self.path, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._descriptor}/{name}"

    def publish(self, listener: socket.socket) -> None:
        """Bind a socket, listen, and replace the older process's socket by it in one step.

        Raises OSError and leaves the older socket in place if this is not possible.
        """
        own_name = f"{SOCKET_NAME}.{os.getpid()}"
        try:
            self._remove(own_name)
            listener.bind(self.socket_path(own_name))
            listener.listen()
            os.replace(os.path.join(self.path, own_name), os.path.join(self.path, SOCKET_NAME))
        except OSError:
            self._remove(own_name)
            raise

    def close(self) -> None:
        """Close the descriptor of the folder. The published socket's file stays for a newer process's."""
        if self._descriptor != NO_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = NO_DESCRIPTOR

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(os.path.join(self.path, name))
