"""Counters since the start of this process, and their text format for operators."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from quota_gateway.model.actions import Reason
from quota_gateway.model.close_reasons import CloseReason
from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import RefusalReason

METRIC_PREFIX = "svc"

# Classification of response statuses by the protocol; any other status is an error
SUCCESS_STATUSES = frozenset({200})
OVERLOAD_STATUSES = frozenset({429, 503})


def format_counters(name: str, counts: Mapping[str, int]) -> list[str]:
    """Return one line per counter of a family, without METRIC_PREFIX."""
    return [f"{name}.{label}={count}" for label, count in counts.items()]


class Metrics:
    """Counts requests by request class and result, and attempts, refusals and reloads."""

    def __init__(self, request_classes: Iterable[str]) -> None:
        """Initialize all counters to zero; `request_classes` names every class that requests may have."""
        self.success = dict.fromkeys(request_classes, 0)
        self.overload = dict.fromkeys(self.success, 0)
        self.error = dict.fromkeys(self.success, 0)
        self.local_responses = dict.fromkeys(Reason, 0)
        self.attempts_refused = dict.fromkeys(RefusalReason, 0)
        self.attempts_ended = dict.fromkeys(Outcome, 0)
        self.connections_closed = dict.fromkeys(CloseReason, 0)
        self.reload_success = 0
        self.reload_failure = 0

    def record_request(self, request_class: str, status: int) -> None:
        """Count a request, once, by the status of its final response; raise KeyError for an unknown class."""
        if status in SUCCESS_STATUSES:
            self.success[request_class] += 1
        elif status in OVERLOAD_STATUSES:
            self.overload[request_class] += 1
        else:
            self.error[request_class] += 1

    def record_reload(self, succeeded: bool) -> None:
        """Count a configuration reload."""
        if succeeded:
            self.reload_success += 1
        else:
            self.reload_failure += 1

    def format_text(self, gauges: Mapping[str, int]) -> str:
        """Return the counters and the current `gauges`, one `name=value` per line."""
        counters = {"success": self.success, "overload": self.overload, "error": self.error}
        lines = [line for name, counts in counters.items() for line in format_counters(name, counts)]
        lines += format_counters("rejected", self.local_responses)
        lines += format_counters("attempts_refused", self.attempts_refused)
        ended_counts = {outcome.name.lower(): count for outcome, count in self.attempts_ended.items()}
        lines += format_counters("attempts_ended", ended_counts)
        lines += format_counters("connections_closed", self.connections_closed)
        lines += [f"{name}={value}" for name, value in gauges.items()]
        lines.append(f"reload_success={self.reload_success}")
        lines.append(f"reload_failure={self.reload_failure}")
        return "".join(f"{METRIC_PREFIX}.{line}\n" for line in lines)
