"""Call ids that must not be sent on again: their requests may have run, and their class forbids repeats.

A client sends each request under an id of its own, so an id that comes again is a repeat, whoever sends it.
"""

from collections import OrderedDict

REPEAT_WINDOW = 60.0  # seconds for which an id is remembered; far longer than any request takes
MAX_REMEMBERED_CALLS = 4096  # ids, of which the oldest are forgotten first; some 0.5 MB


class RepeatedCalls:
    """The ids of requests that may have run, from their first attempt on."""

    def __init__(self) -> None:
        """Initialize without ids."""
        self._sent_at: OrderedDict[bytes, float] = OrderedDict()  # seconds, the earliest first

    def add(self, call_id: bytes, now: float) -> None:
        """Remember an id whose first attempt starts now."""
        self._sent_at[call_id] = now
        self._sent_at.move_to_end(call_id)
        self._forget_oldest(now)

    def discard(self, call_id: bytes) -> None:
        """Forget an id whose request has certainly not run."""
        self._sent_at.pop(call_id, None)

    def is_repeat(self, call_id: bytes, now: float) -> bool:
        """Return whether a request with this id may have run already."""
        sent_at = self._sent_at.get(call_id)
        return sent_at is not None and now - sent_at < REPEAT_WINDOW

    def ids(self) -> tuple[bytes, ...]:
        """Return all ids, the earliest first."""
        return tuple(self._sent_at)

    def _forget_oldest(self, now: float) -> None:
        while self._sent_at:
            oldest, sent_at = next(iter(self._sent_at.items()))
            if len(self._sent_at) <= MAX_REMEMBERED_CALLS and now - sent_at < REPEAT_WINDOW:
                return
            del self._sent_at[oldest]
