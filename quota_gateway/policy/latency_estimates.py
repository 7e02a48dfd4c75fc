"""Estimates of response times and of clients' timeouts, and how long a response is useful."""

from dataclasses import dataclass, field

from quota_gateway.model.events import RequestReceived
from quota_gateway.model.settings import RequestClass
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import AttemptState, PendingRequest

SAMPLE_WEIGHT = 0.15 / 3  # weight of one sample in a moving average: about the last forty samples count
INITIAL_ESTIMATE_FRACTION = 1 / 8  # estimate before the first sample, as a fraction of the latency objective
MIN_DURATION = 1e-4  # seconds; keeps the ratio of two durations finite
# Value of a late response, relative to one in time, from which attempts run until the deadline.
MIN_LATE_VALUE_RATIO = 0.5
# Ratio of a retry's timeout to that of first sends, from which they count as equal: transit takes some time.
SAME_TIMEOUT_RATIO = 0.95


@dataclass(slots=True, eq=False)
class LatencyEstimates:
    """Moving averages of response times and of clients' timeouts, both in seconds."""

    context: EngineContext
    # Response times by request class and units, rounded up to keep the keys few; 0 units is the entire class.
    response_times: dict[tuple[str, float], float] = field(default_factory=dict)
    # Response times by machine type, relative to those of the fleet.
    relative_response_times: dict[str, float] = field(default_factory=dict)
    # Timeouts of first sends, by request class.
    average_client_timeouts: dict[str, float] = field(default_factory=dict)

    def expected_response_time(self, request: PendingRequest) -> float:
        """Return the expected response time in seconds, as an average over the fleet."""
        initial = request.latency_objective * INITIAL_ESTIMATE_FRACTION
        fallback = self.response_times.get((request.request_class.name, 0.0), initial)
        return self.response_times.get(request.response_time_key, fallback)

    def relative_response_time(self, machine_type: str) -> float:
        """Return the response time on machines of a type, relative to the fleet's average."""
        return self.relative_response_times.get(machine_type, 1.0)

    def record(self, request: PendingRequest, attempt: AttemptState, elapsed: float) -> None:
        """Update the estimates with the response time of a successful attempt, in seconds."""
        for key in (request.response_time_key, (request.request_class.name, 0.0)):
            average = self.response_times.get(key, elapsed)
            self.response_times[key] = average + SAMPLE_WEIGHT * (elapsed - average)
        machine_type = attempt.endpoint.endpoint.machine_type
        factor = self.relative_response_time(machine_type)
        sample = elapsed / max(attempt.expected_response_time, MIN_DURATION)
        self.relative_response_times[machine_type] = factor + SAMPLE_WEIGHT * (sample - factor)

    def retry_age(self, request: RequestReceived, request_class: RequestClass) -> float:
        """Return the estimated seconds since the client's first send, where the latency objective starts.

        Clients use one timeout for all sends of a class, cut short by the deadline, which counts from the
        first send. So if a retry has a shorter timeout than first sends, its age follows from it. Any other
        retry is taken to be as old as the longest Retry-After, or as its timeout allows if that is less.
        """
        timeout = request.client_timeout or request.deadline - self.context.now
        average = self.average_client_timeouts.get(request_class.name, timeout)
        if not request.is_retry:
            self.average_client_timeouts[request_class.name] = average + SAMPLE_WEIGHT * (timeout - average)
            return 0.0
        age = max(request_class.deadline - timeout, 0.0)
        settings = self.context.settings
        longest_retry_after = settings.max_retry_after if settings.retry_after_allowed else 0.0
        return age if timeout < SAME_TIMEOUT_RATIO * average else min(age, longest_retry_after)


def useful_until(request: PendingRequest) -> float:
    """Return until when a response is useful: the objective's end, or the deadline if late ones count."""
    if request.request_class.late_value_ratio < MIN_LATE_VALUE_RATIO:
        return request.first_sent_at + request.latency_objective
    return request.request.deadline
