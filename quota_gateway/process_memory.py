"""The memory of this process, as the kernel counts it."""

from __future__ import annotations

import resource

STATM_PATH = "/proc/self/statm"  # sizes in pages: total, resident, ... (man 5 proc)
PAGE_BYTES = resource.getpagesize()


def resident_bytes() -> int:
    """Return the bytes of this process that are in memory; 0 if the kernel does not tell."""
    try:
        with open(STATM_PATH, encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except OSError:
        return 0
