"""The memory of another process, as the kernel counts it."""

from __future__ import annotations

import pathlib
import re


def private_bytes(process_id: int) -> int:
    """Return the bytes of memory that belong to a process alone; raises OSError once it has ended."""
    text = pathlib.Path(f"/proc/{process_id}/smaps_rollup").read_text()
    return sum(1024 * int(size) for size in re.findall(r"Private_\w+:\s+(\d+) kB", text))
