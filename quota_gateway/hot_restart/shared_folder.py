"""The folder shared by a gateway's processes, in which a newer process finds the older one's socket."""

from __future__ import annotations

import contextlib
import os
import socket

SOCKET_NAME = "embersill.handover"  # fixed, because processes of other versions look for it
MAX_SOCKET_PATH_LENGTH = 99  # bytes; below the kernel's limit of 107 for the path of a Unix socket

NO_DESCRIPTOR = -1  # stands for a descriptor that is not open


class SharedFolder:
    """Publishes this process's socket in the folder, and returns paths to sockets in it."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._folder_descriptor = NO_DESCRIPTOR  # opened if a path is too long for a socket

    def socket_path(self, name: str) -> str:
        """Return a path to connect or bind to; a long one goes through a descriptor of the folder."""
        path = os.path.join(self.path, name)
        if len(os.fsencode(path)) <= MAX_SOCKET_PATH_LENGTH:
            return path
        if self._folder_descriptor == NO_DESCRIPTOR:
            self._folder_descriptor = os.open(self.path, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self._folder_descriptor}/{name}"

    def publish(self, listener: socket.socket) -> None:
        """Bind a socket, listen on it, and atomically replace the older process's socket with it.

        Raises OSError if that fails, and leaves the older socket in place.
        """
        temporary_name = f"{SOCKET_NAME}.{os.getpid()}"
        try:
            self._remove(temporary_name)
            listener.bind(self.socket_path(temporary_name))
            listener.listen()
            os.replace(os.path.join(self.path, temporary_name), os.path.join(self.path, SOCKET_NAME))
        except OSError:
            self._remove(temporary_name)
            raise

    def close(self) -> None:
        """Close the folder's descriptor; the published socket's file stays for a newer process to replace."""
        if self._folder_descriptor != NO_DESCRIPTOR:
            os.close(self._folder_descriptor)
            self._folder_descriptor = NO_DESCRIPTOR

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(os.path.join(self.path, name))
