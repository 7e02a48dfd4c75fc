"""Builds the preloaded fault library and controls the faults of one process through shared memory."""

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
    """The faults to inject into a process; the layout is that of `struct control` in system_faults.c."""

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
    """Compile the library once per test run and return its path; raises CalledProcessError on failure."""
    path = pathlib.Path(tempfile.mkdtemp(prefix="system-faults-")) / "system_faults.so"
    command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(path), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return path


class FaultInjector:
    """Controls the faults of one process, which must be started with the variables in `environment`."""

    def __init__(self, control_file: pathlib.Path, seed: int = 0) -> None:
        """Create the page in `control_file` without faults; `seed` determines the faults drawn at random."""
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
        """The number of faults injected so far."""
        return int(self.page.injected)

    def step_wall_clock(self, seconds: float) -> None:
        """Set the process's wall clock `seconds` ahead of the machine's, or behind it if below 0."""
        self.page.wall_offset_ns = round(seconds * NANOSECONDS_PER_SECOND)

    def fail_accepts(self, rate: float, error: int) -> None:
        """Make a fraction of accept calls fail with this errno while a connection is waiting."""
        self.page.accept_errno = error
        self.page.accept_rate = rate

    def fail_sockets(self, rate: float, error: int) -> None:
        """Make a fraction of the calls that create TCP sockets fail with this errno."""
        self.page.socket_errno = error
        self.page.socket_rate = rate

    def fail_connects(self, rate: float, error: int) -> None:
        """Make a fraction of TCP connects fail with this errno."""
        self.page.connect_errno = error
        self.page.connect_rate = rate

    def fail_folder(self, error: int) -> None:
        """Make every use of the shared folder fail with this errno; 0 ends the fault."""
        self.page.folder_errno = error

    def fail_configuration_file(self, error: int) -> None:
        """Make every open of the configuration file fail with this errno; 0 ends the fault."""
        self.page.open_errno = error


def open_descriptor_count(process_id: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{process_id}/fd"))
