"""When endpoints started, by this gateway's clock.

The list says it by a wall clock, which may have been stepped, as may this machine's. An endpoint can't have
started after the list named that start, nor before discovery last answered without it. A start that is said
to be earlier than that shows that the clocks differ, and counts as new: slow start must not be skipped.
"""

from dataclasses import dataclass, field
from math import inf

MAX_KNOWN_STARTS = 20_000  # of endpoints, also of some that the list does not name any more


@dataclass(frozen=True, slots=True)
class KnownStart:
    """A start as the list said it, and the time that it counts from; None for a start long ago."""

    listed_at: float | None
    counts_from: float | None


@dataclass(slots=True, eq=False)
class StartTimes:
    """Remembers the start of each endpoint; times are seconds."""

    confirmed_at: float = -inf  # when discovery last answered
    known: dict[str, KnownStart] = field(default_factory=dict)  # by endpoint id, the latest start last

    def observe(self, endpoint_id: str, listed_at: float | None, now: float) -> float | None:
        """Return the time from which a start counts that the list names now, None for one long ago."""
        known = self.known.get(endpoint_id)
        if known is not None and known.listed_at == listed_at:
            return known.counts_from
        counts_from = listed_at
        if listed_at is not None and not self.confirmed_at <= listed_at <= now:
            counts_from = now
        self._remember(endpoint_id, KnownStart(listed_at, counts_from))
        return counts_from

    def merge(self, endpoint_id: str, start: KnownStart) -> None:
        """Take over what an older process of this gateway knows: it had lists from before this start."""
        known = self.known.get(endpoint_id)
        if known is None or known.listed_at == start.listed_at:
            self._remember(endpoint_id, start)

    def _remember(self, endpoint_id: str, start: KnownStart) -> None:
        self.known.pop(endpoint_id, None)
        self.known[endpoint_id] = start
        if len(self.known) > MAX_KNOWN_STARTS:
            del self.known[next(iter(self.known))]

    def list_answered(self, now: float) -> None:
        """Note that discovery answered: what the list does not name by now starts later."""
        self.confirmed_at = now
