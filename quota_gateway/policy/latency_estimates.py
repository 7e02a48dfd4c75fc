"""Estimates of response times and of clients' timeouts, and how long an answer has value."""

from dataclasses import dataclass, field

from quota_gateway.model.events import RequestReceived
from quota_gateway.model.settings import RequestClass
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import AttemptState, PendingRequest

SAMPLE_WEIGHT = 0.15 / 3  # of one sample in a moving average: about the last forty count
INITIAL_FRACTION = 1 / 8  # of the latency objective: the estimate before there is any sample
MIN_DURATION = 1e-4  # seconds: keeps a ratio of durations finite
LATE_VALUE_RATIO = 0.5  # of the value that a late answer keeps, from which attempts run until the deadline
SAME_TIMEOUT_RATIO = 0.95  # of a first send's timeout, from which a retry's is the same: transit takes some


@dataclass(slots=True, eq=False)
class LatencyEstimates:
    """Moving averages of response times and of clients' timeouts, both in seconds."""

    context: EngineContext
    # by request class and whole units, which keeps the keys few; 0 units: of the whole class
    durations: dict[tuple[str, float], float] = field(default_factory=dict)
    machine_type_factors: dict[str, float] = field(default_factory=dict)  # against the fleet
    client_timeouts: dict[str, float] = field(default_factory=dict)  # of first sends, by request class

    def expected(self, request: PendingRequest) -> float:
        """Return the seconds that such a request takes on the fleet."""
        initial = request.latency_objective * INITIAL_FRACTION
        fallback = self.durations.get((request.request_class.name, 0.0), initial)
        return self.durations.get(request.duration_key, fallback)

    def machine_type_factor(self, machine_type: str) -> float:
        """Return how many times longer than on the fleet a request takes on machines of a type."""
        return self.machine_type_factors.get(machine_type, 1.0)

    def record(self, request: PendingRequest, attempt: AttemptState, elapsed: float) -> None:
        """Learn from a successful response."""
        for key in (request.duration_key, (request.request_class.name, 0.0)):
            before = self.durations.get(key, elapsed)
            self.durations[key] = before + SAMPLE_WEIGHT * (elapsed - before)
        machine_type = attempt.endpoint.endpoint.machine_type
        factor = self.machine_type_factor(machine_type)
        sample = elapsed / max(attempt.expected_duration, MIN_DURATION)
        self.machine_type_factors[machine_type] = factor + SAMPLE_WEIGHT * (sample - factor)

    def retry_age(self, request: RequestReceived, request_class: RequestClass) -> float:
        """Return the seconds since the client's first send, on which its objective and deadline depend.

        Clients wait equally long for each send of a class, and for all of them until its deadline: a retry
        with less time than first sends have shows by it how old it is. Another is as old as the longest
        Retry-After makes it, but no older than its time allows.
        """
        timeout = request.client_timeout or request.deadline - self.context.now
        usual = self.client_timeouts.get(request_class.name, timeout)
        if not request.is_retry:
            self.client_timeouts[request_class.name] = usual + SAMPLE_WEIGHT * (timeout - usual)
            return 0.0
        age = max(request_class.deadline - timeout, 0.0)
        settings = self.context.settings
        advised = settings.max_retry_after if settings.retry_after_allowed else 0.0
        return age if timeout < SAME_TIMEOUT_RATIO * usual else min(age, advised)


def useful_until(request: PendingRequest) -> float:
    """Return until when an answer is useful: the objective's end, or the deadline if late ones count."""
    if request.request_class.late_value_ratio < LATE_VALUE_RATIO:
        return request.first_sent_at + request.latency_objective
    return request.request.deadline
