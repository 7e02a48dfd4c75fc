"""The size of a run and the schedule of faults that a seed generates."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, replace
from enum import StrEnum

HOST = "127.0.0.1"
WARM_UP = 1.5  # seconds without faults at the start of a run
COOL_DOWN = 2.0  # seconds without new faults at the end of a run
# Mean seconds between the starts of two faults. Most faults last longer than this, so that they overlap.
MEAN_FAULT_INTERVAL = 0.45
HOUR = 3600.0  # seconds
MAX_DEADLINE = 3.0  # seconds; a longer deadline does not delay SIGKILL further
KILL_DELAY = 0.7  # seconds from the longest deadline after SIGTERM to SIGKILL
LONGEST_DEADLINES = (2.5, 0.6, 1.2, 0.8)  # seconds
CROWD_EACH = 130  # more clients than a gateway with CROWD_SOCKETS accepts
CROWD_SOCKETS = 256  # descriptors of a gateway in a run with a crowd
CROWD_MEMORY = 48  # megabytes of memory of such a gateway


@dataclass(frozen=True, slots=True)
class RunSize:
    """The number of processes of each role, and for how many seconds the clients send requests."""

    gateways: int
    backend_processes: int
    backends_each: int
    client_processes: int
    clients_each: int
    seconds: float
    longest_deadline: float = 2.5  # seconds, of all request classes
    crowd_each: int = 0  # clients of the crowd for each gateway
    repeats_signals: bool = False  # whether SIGTERM is sent again, with SIGHUP in between
    never_rests: bool = False  # whether clients send on open connections as long as those stay open
    shutdown_slack: float = 0.0  # seconds by which SIGKILL comes later than it may

    @property
    def kill_delay(self) -> float:
        """Seconds from SIGTERM to SIGKILL: the earliest time that the platform allows itself."""
        return min(self.longest_deadline, MAX_DEADLINE) + KILL_DELAY + self.shutdown_slack

    @property
    def backends(self) -> int:
        """The total number of backends in all backend processes."""
        return self.backend_processes * self.backends_each


def vary_size(size: RunSize, seed: int) -> RunSize:
    """Return the run of a seed: its deadlines, its crowd, and the habits of its clients and platform."""
    return replace(
        size,
        longest_deadline=LONGEST_DEADLINES[seed % len(LONGEST_DEADLINES)],
        crowd_each=CROWD_EACH if seed % 3 == 0 else 0,
        repeats_signals=seed % 2 == 0,
        never_rests=seed % 4 != 1,
    )


class Fault(StrEnum):
    """The kinds of fault that a run injects.

    The order of the members is part of what a seed generates, so it must not change.
    """

    PAUSE = "pause"  # the newest process of a gateway is stopped with SIGSTOP for up to 0.3 s
    KILL = "kill"  # a gateway is killed and started again
    RESTART = "restart"  # a gateway is terminated with SIGTERM and started again
    HOT_RESTART = "hot_restart"
    NEW_PROCESS_KILLED = "new_process_killed"  # a hot restart whose new process is killed once it serves
    RELOAD = "reload"  # SIGHUP with another discovery address in the configuration file
    FAILED_RELOAD = "failed_reload"  # a reload whose file is at first incomplete or cannot be opened
    MAINTENANCE = "maintenance"  # an operator takes a backend out of service at one gateway
    BACKEND_HANGS = "backend_hangs"
    BACKEND_FAILS = "backend_fails"
    BACKEND_REJECTS = "backend_rejects"
    BACKEND_RESETS = "backend_resets"
    BACKENDS_PAUSE = "backends_pause"  # a process with several backends is stopped for up to 1 s
    BACKEND_DRAINS = "backend_drains"
    BACKEND_RESTARTS = "backend_restarts"
    PROXY_DELAYS = "proxy_delays"
    PROXY_RESETS = "proxy_resets"
    PROXY_STALLS = "proxy_stalls"
    PROXY_FRAGMENTS = "proxy_fragments"
    DISCOVERY_UNRESPONSIVE = "discovery_unresponsive"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_OVERLOADED = "discovery_overloaded"
    COUNTER_UNRESPONSIVE = "counter_unresponsive"
    COUNTER_BUSY = "counter_busy"
    SYSTEM_CALLS_FAIL = "system_calls_fail"  # some accept, socket and connect calls of a gateway fail
    SHORT_IO = "short_io"  # a gateway has short reads and writes and interrupted epoll waits
    CLOCK_STEP = "clock_step"  # the wall clock of a gateway is stepped, and stepped back later
    SHARED_FOLDER_FAILS = "shared_folder_fails"


# Faults are drawn uniformly from this sequence: those listed several times are more frequent. Its
# order is part of what a seed generates.
WEIGHTED_FAULTS = (
    *Fault,
    Fault.PAUSE,
    Fault.PAUSE,
    Fault.HOT_RESTART,
    Fault.RESTART,
    Fault.BACKEND_DRAINS,
)
RESOURCE_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)
FOLDER_ERRORS = (errno.EIO, errno.ENOSPC)
CLOCK_STEPS = (-HOUR, -3.0, 3.0, HOUR)  # seconds


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault: its start in seconds after the start of the run, its duration in seconds and its target."""

    starts_at: float
    kind: Fault
    duration: float
    target: int  # taken modulo the number of possible targets
    random_value: float  # from 0 to 1; selects further parameters, such as the errno


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Generate the faults of a run in the order of their starts.

    A fault has a duration of 0.1 to 2.5 s, so that most faults overlap.
    """
    rng = random.Random(seed)
    faults = []
    starts_at = WARM_UP
    while starts_at < seconds - COOL_DOWN:
        faults.append(
            PlannedFault(
                starts_at,
                rng.choice(WEIGHTED_FAULTS),
                rng.uniform(0.1, 2.5),
                rng.randrange(1 << 20),
                rng.random(),
            )
        )
        starts_at += rng.expovariate(1.0 / MEAN_FAULT_INTERVAL)
    return faults
