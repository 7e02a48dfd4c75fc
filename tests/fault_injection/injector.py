"""Builds the preloaded library of faults, and controls the faults of one process through a shared page."""

from __future__ import annotations

import ctypes
import functools
import mmap
import os
import pathlib
import subprocess
import tempfile

SOURCE = pathlib.Path(__file__).with_name("system_faults.c")
NANOSECONDS_PER_SECOND = 1_000_000_000


class ControlPage(ctypes.Structure):
    """The faults that a process meets; the layout is that of `struct control` in system_faults.c."""

    _fields_ = (
        ("accept_rate", ctypes.c_double),
        ("socket_rate", ctypes.c_double),
        ("connect_rate", ctypes.c_double),
        ("interrupt_rate", ctypes.c_double),
        ("short_io_rate", ctypes.c_double),
        ("broken_rate", ctypes.c_double),
        ("wall_offset_ns", ctypes.c_int64),
        ("accept_errno", ctypes.c_int32),
        ("socket_errno", ctypes.c_int32),
        ("connect_errno", ctypes.c_int32),
        ("folder_errno", ctypes.c_int32),
        ("open_errno", ctypes.c_int32),
        ("padding", ctypes.c_int32),
        ("injected", ctypes.c_int64),
    )


@functools.cache
def fault_library() -> pathlib.Path:
    """Compile the library once a test run and return its path; CalledProcessError shows why it can't be."""
    path = pathlib.Path(tempfile.mkdtemp(prefix="system-faults-")) / "system_faults.so"
    command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(path), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return path


class FaultInjector:
    """The control page of one process, which is started with the variables of `environment`."""

    def __init__(self, control_file: pathlib.Path, seed: int = 0) -> None:
        """Create the page in `control_file`, without any fault; `seed` is for the faults drawn at random."""
        control_file.write_bytes(bytes(ctypes.sizeof(ControlPage)))
        with control_file.open("r+b") as file:
            self._mapping = mmap.mmap(file.fileno(), ctypes.sizeof(ControlPage))
        self.page = ControlPage.from_buffer(self._mapping)
        self.environment = {
            "LD_PRELOAD": str(fault_library()),
            "FAULT_CONTROL": str(control_file),
            "FAULT_SEED": str(seed),
        }

    @property
    def injected(self) -> int:
        """The number of faults that the process has met."""
        return int(self.page.injected)

    def step_wall_clock(self, seconds: float) -> None:
        """Set the process's wall clock to be so far ahead of the machine's, or behind it if below 0."""
        self.page.wall_offset_ns = round(seconds * NANOSECONDS_PER_SECOND)

    def fail_accepts(self, rate: float, error: int) -> None:
        """Have a part of the accepts fail with this errno, while a connection waits."""
        self.page.accept_errno = error
        self.page.accept_rate = rate

    def fail_sockets(self, rate: float, error: int) -> None:
        """Have a part of the socket calls for TCP fail with this errno."""
        self.page.socket_errno = error
        self.page.socket_rate = rate

    def fail_connects(self, rate: float, error: int) -> None:
        """Have a part of the TCP connects fail with this errno."""
        self.page.connect_errno = error
        self.page.connect_rate = rate

    def fail_folder(self, error: int) -> None:
        """Have every use of the shared folder fail with this errno; 0 ends it."""
        self.page.folder_errno = error

    def fail_configuration_file(self, error: int) -> None:
        """Have every open of the configuration file fail with this errno; 0 ends it."""
        self.page.open_errno = error


def open_descriptor_count(process_id: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{process_id}/fd"))
