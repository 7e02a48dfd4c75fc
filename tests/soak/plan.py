"""What a run is made of: its size, and the troubles that a seed draws."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass
from enum import StrEnum

HOST = "127.0.0.1"
WARM_UP = 1.5  # seconds without trouble at the start of a run
QUIET_END = 2.0  # seconds without new trouble at its end
MEAN_GAP = 0.45  # seconds between the beginnings of two troubles: most last longer, so that they overlap
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


class Trouble(StrEnum):
    """The kinds of trouble."""

    HOLD_UP = "hold_up"  # a gateway process is stopped for a moment
    KILL = "kill"  # a gateway is killed, and started again
    RESTART = "restart"  # a gateway is ended with SIGTERM, and started again
    HOT_RESTART = "hot_restart"
    NEWER_DIES = "newer_dies"  # a hot restart whose newer process is killed as it serves
    RELOAD = "reload"  # SIGHUP, with another discovery address in the file
    BROKEN_RELOAD = (
        "broken_reload"  # the same, but the file is half written, or can't be opened, for a moment
    )
    MAINTENANCE = "maintenance"  # an operator takes a backend out of service at one gateway
    BACKEND_HANGS = "backend_hangs"
    BACKEND_FAILS = "backend_fails"
    BACKEND_REJECTS = "backend_rejects"
    BACKEND_RESETS = "backend_resets"
    BACKEND_STOPS = "backend_stops"  # a process with some backends is stopped for a while
    BACKEND_DRAINS = "backend_drains"
    BACKEND_RESTARTS = "backend_restarts"
    PROXY_DELAYS = "proxy_delays"
    PROXY_RESETS = "proxy_resets"
    PROXY_FREEZES = "proxy_freezes"
    PROXY_DRIBBLES = "proxy_dribbles"
    DISCOVERY_SILENT = "discovery_silent"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_REFUSES = "discovery_refuses"
    COUNTER_SILENT = "counter_silent"
    COUNTER_BUSY = "counter_busy"
    CALLS_FAIL = "calls_fail"  # accept, socket and connect of a gateway
    SHORT_CALLS = "short_calls"  # short reads and writes, and interrupted waits, of a gateway
    CLOCK_STEP = "clock_step"  # of a gateway's wall clock
    FOLDER_FAILS = "folder_fails"


# Kinds stand as often as they are to be drawn.
KINDS = (
    *Trouble,
    Trouble.HOLD_UP,
    Trouble.HOLD_UP,
    Trouble.HOT_RESTART,
    Trouble.RESTART,
    Trouble.BACKEND_DRAINS,
)
SHORTAGES = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)
FOLDER_ERRORS = (errno.EIO, errno.ENOSPC)
STEPS = (-HOUR, -3.0, 3.0, HOUR)


@dataclass(frozen=True, slots=True)
class PlannedTrouble:
    """One trouble: when it begins after the start of the run, how long it lasts, and whom it strikes."""

    at: float
    kind: Trouble
    seconds: float
    target: int  # a number, of which the kind takes the rest modulo how many there are
    choice: float  # from 0 to 1, for whatever else the kind draws


def plan_troubles(seed: int, seconds: float) -> list[PlannedTrouble]:
    """Draw the troubles of a run; they overlap, as each lasts up to 2.5 s."""
    chance = random.Random(seed)
    troubles = []
    at = WARM_UP
    while at < seconds - QUIET_END:
        troubles.append(
            PlannedTrouble(
                at, chance.choice(KINDS), chance.uniform(0.1, 2.5), chance.randrange(1 << 20), chance.random()
            )
        )
        at += chance.expovariate(1.0 / MEAN_GAP)
    return troubles
