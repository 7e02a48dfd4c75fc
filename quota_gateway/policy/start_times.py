"""When endpoints started, by this gateway's clock.

The list gives start times by a wall clock. That clock may have been stepped, and so may this machine's. An
endpoint can't have started after the list that first names its start, nor before the last response of
discovery without it. A listed start outside these bounds shows that the clocks differ, and counts as a start
just now: slow start must not be skipped.
"""

from dataclasses import dataclass, field
from math import inf

MAX_KNOWN_STARTS = 20_000  # endpoints whose start is kept, including some that the list no longer names


@dataclass(frozen=True, slots=True)
class ObservedStart:
    """A start as listed, and the time from which it counts, both in seconds; None for a start long ago."""

    listed_at: float | None
    effective_at: float | None


@dataclass(slots=True, eq=False)
class StartTimes:
    """Keeps the start of each endpoint; times are in seconds."""

    last_response_at: float = -inf  # time of discovery's last response
    starts: dict[str, ObservedStart] = field(default_factory=dict)  # by endpoint id, oldest entry first

    def observe(self, endpoint_id: str, listed_at: float | None, now: float) -> float | None:
        """Return the time from which a start in the current list counts, or None for one long ago."""
        known = self.starts.get(endpoint_id)
        if known is not None and known.listed_at == listed_at:
            return known.effective_at
        effective_at = listed_at
        if listed_at is not None and not self.last_response_at <= listed_at <= now:
            effective_at = now
        self._store(endpoint_id, ObservedStart(listed_at, effective_at))
        return effective_at

    def merge(self, endpoint_id: str, start: ObservedStart) -> None:
        """Merge a start that the older process of a hot restart knows from lists before this one's start."""
        known = self.starts.get(endpoint_id)
        if known is None or known.listed_at == start.listed_at:
            self._store(endpoint_id, start)

    def _store(self, endpoint_id: str, start: ObservedStart) -> None:
        self.starts.pop(endpoint_id, None)
        self.starts[endpoint_id] = start
        if len(self.starts) > MAX_KNOWN_STARTS:
            del self.starts[next(iter(self.starts))]

    def list_received(self, now: float) -> None:
        """Record a response of discovery: endpoints that are not in its list have yet to start."""
        self.last_response_at = now
