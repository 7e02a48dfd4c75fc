"""What operators read: counts of this process since its start, and their wording."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

PREFIX = "svc"
SERVED, REFUSED = (200,), (429, 503)  # the statuses that the protocol takes for these; any other has failed


class Metrics:
    """Counts requests where they end. A request is counted once, by the class that it came with."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.success = dict.fromkeys(classes, 0)
        self.overload = dict.fromkeys(self.success, 0)
        self.error = dict.fromkeys(self.success, 0)
        self.reload_success = self.reload_failure = 0

    def request_ended(self, klass: str, status: int) -> None:
        if status in SERVED:
            self.success[klass] += 1
        elif status in REFUSED:
            self.overload[klass] += 1
        else:
            self.error[klass] += 1

    def reloaded(self, done: bool) -> None:
        if done:
            self.reload_success += 1
        else:
            self.reload_failure += 1

    def text(self, standing: Mapping[str, int]) -> str:
        """One `name=value` a line; `standing` has the figures that are read, not counted."""
        counts = {"success": self.success, "overload": self.overload, "error": self.error}
        lines = [
            f"{name}.{klass}={number}"
            for name, by_class in counts.items()
            for klass, number in by_class.items()
        ]
        lines += [f"{name}={number}" for name, number in standing.items()]
        lines += [f"reload_success={self.reload_success}", f"reload_failure={self.reload_failure}"]
        return "".join(f"{PREFIX}.{line}\n" for line in lines)
