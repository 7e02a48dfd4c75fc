"""Sizes of short responses, by which a response that pauses is judged to be a long one or to have stopped.

A response without a length shows only by its size that it is long. Until it exceeds the buffer limit, a pause
may be that of a long response, which must not be cut off, or the end of a short one that its endpoint never
finishes, whose request must still end in time. Either mistake fails the request: the likelier case counts.
"""

from dataclasses import dataclass

# A response is likely to be long from this multiple of the largest short response on.
LONG_RESPONSE_RATIO = 2.0
MIN_LONG_BYTES = 4 * 1024  # no smaller response is likely to be long, however small the others are
# Fraction of the largest size that remains after each further response: sizes may change with a release.
REMAINING_FRACTION = 0.999


@dataclass(slots=True, eq=False)
class ResponseSizes:
    """The largest size in bytes of the short responses to one request class, which slowly decays."""

    largest: float | None = None  # None before the first response

    def record(self, size: int) -> None:
        """Add a complete response that was within the buffer limit; `size` is that of its body in bytes."""
        decayed = 0.0 if self.largest is None else REMAINING_FRACTION * self.largest
        self.largest = max(float(size), decayed)

    def is_likely_long(self, size: int) -> bool:
        """Return whether a response with `size` bytes so far is likely to be a long one."""
        if self.largest is None:
            return False
        return size >= max(LONG_RESPONSE_RATIO * self.largest, MIN_LONG_BYTES)
