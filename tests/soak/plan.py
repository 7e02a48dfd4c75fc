"""What a run is made of: its size, and the troubles that a seed draws."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass
from enum import StrEnum

HOST = "127.0.0.1"
WARM_UP = 1.5  # seconds without trouble at the start of a run
COOL_DOWN = 2.0  # seconds without new trouble at its end
MEAN_FAULT_INTERVAL = (
    0.45  # seconds between the beginnings of two troubles: most last longer, so that they overlap
)
HOUR = 3600.0


@dataclass(frozen=True, slots=True)
class RunSize:
    """How many processes there are of each kind, and how long they play, in seconds."""

    gateways: int
    backend_processes: int
    backends_each: int
    client_processes: int
    clients_each: int
    seconds: float

    @property
    def backends(self) -> int:
        """The number of backends."""
        return self.backend_processes * self.backends_each


class Fault(StrEnum):
    """The kinds of trouble."""

    PAUSE = "pause"  # a gateway process is stopped for a moment
    KILL = "kill"  # a gateway is killed, and started again
    RESTART = "restart"  # a gateway is ended with SIGTERM, and started again
    HOT_RESTART = "hot_restart"
    NEW_PROCESS_KILLED = "new_process_killed"  # a hot restart whose newer process is killed as it serves
    RELOAD = "reload"  # SIGHUP, with another discovery address in the file
    FAILED_RELOAD = (
        "failed_reload"  # the same, but the file is half written, or can't be opened, for a moment
    )
    MAINTENANCE = "maintenance"  # an operator takes a backend out of service at one gateway
    BACKEND_HANGS = "backend_hangs"
    BACKEND_FAILS = "backend_fails"
    BACKEND_REJECTS = "backend_rejects"
    BACKEND_RESETS = "backend_resets"
    BACKENDS_PAUSE = "backends_pause"  # a process with some backends is stopped for a while
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
    SYSTEM_CALLS_FAIL = "system_calls_fail"  # accept, socket and connect of a gateway
    SHORT_IO = "short_io"  # short reads and writes, and interrupted waits, of a gateway
    CLOCK_STEP = "clock_step"  # of a gateway's wall clock
    SHARED_FOLDER_FAILS = "shared_folder_fails"


# Kinds stand as often as they are to be drawn.
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
CLOCK_STEPS = (-HOUR, -3.0, 3.0, HOUR)


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One trouble: when it begins after the start of the run, how long it lasts, and whom it strikes."""

    starts_at: float
    kind: Fault
    duration: float
    target: int  # a number, of which the kind takes the rest modulo how many there are
    random_value: float  # from 0 to 1, for whatever else the kind draws


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Draw the troubles of a run; they overlap, as each lasts up to 2.5 s."""
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
