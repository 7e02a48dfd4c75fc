"""Simulates a fleet of gateways and its backends in virtual time, while some of the backends restart or fail.

It counts the requests that all gateways together send to backends in slow start, and compares them with the
limit of the settings.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import partial
from typing import NamedTuple

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import FailRequest, Reject, SetTimer, StartAttempt
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    RequestReceived,
    SetMaintenance,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Plan, RequestClass, Settings
from tests.policy_harness import CONCURRENCY_PLAN, IDEMPOTENT_CLASS, SETTINGS

NETWORK_DELAY = 0.001  # seconds, one way, between a gateway and a backend
CONNECT_TIMEOUT = 0.25  # seconds until a connection attempt to a failed backend ends
FAULT_TIME = 6.0  # seconds into a run when backends restart or fail, after a learning phase of the gateways
OBSERVED_TIME = 10.0  # seconds that a run continues after FAULT_TIME
SERVICE_TIME = 0.1  # mean seconds of one core per request
SERVICE_TIME_MU = -0.32  # mu of the lognormal factor on SERVICE_TIME, whose mean is 1
SERVICE_TIME_SIGMA = 0.8  # sigma of the same factor
CORES = 2  # cores per backend
MAX_QUEUE_LENGTH = 24  # requests that can wait at a backend, which rejects any more
REQUEST_TIMEOUT = 2.4  # seconds from a request's arrival to its deadline
CLIENT_TIMEOUT = 2.5  # seconds that a request's client waits
RATE_SIGMA = 0.8  # sigma of the gateways' lognormal request rates; some get several times the mean
SEED_STRIDE = 1000  # difference between the engine seeds of successive runs, above the number of gateways

READ: RequestClass = replace(IDEMPOTENT_CLASS, latency_objective=0.75, deadline=2.5)
UNLIMITED_PLAN: Plan = replace(CONCURRENCY_PLAN, concurrency=0)


class Load(StrEnum):
    """The load of a fleet, with the text that the report prints."""

    CALM = "calm"
    HIGH = "pressed"
    HALF_FAILED = "half dead"
    HALF_FAILED_AND_HIGH = "half dead and pressed"


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """The utilization and the failures at a load."""

    utilization: float  # fraction of the capacity of all backends, including those that fail
    failed_fraction: float  # fraction of the backends that do not restart


LOAD_PROFILES = {
    Load.CALM: LoadProfile(utilization=0.6, failed_fraction=0.0),
    Load.HIGH: LoadProfile(utilization=1.0, failed_fraction=0.0),
    Load.HALF_FAILED: LoadProfile(utilization=0.35, failed_fraction=0.5),
    Load.HALF_FAILED_AND_HIGH: LoadProfile(utilization=0.55, failed_fraction=0.5),
}


@dataclass(frozen=True, slots=True)
class Case:
    """One run, in which some of the backends restart and some fail permanently at FAULT_TIME."""

    gateways: int
    backends: int
    restarted: int  # number of backends that restart
    load: Load
    overload_ratio: float  # value of the setting slow_start_overload_ratio
    restarted_by_operator: bool  # through maintenance at each gateway, not by a new start time in the list
    seed: int

    @property
    def failed(self) -> int:
        """Number of backends that fail."""
        return int((self.backends - self.restarted) * LOAD_PROFILES[self.load].failed_fraction)


class Attempt(NamedTuple):
    """An attempt in flight."""

    gateway: int
    request_id: int
    index_in_request: int  # counted from 0 within the request
    backend: str
    sent_at: float  # seconds of simulated time


@dataclass
class SimulatedBackend:
    """A backend's cores and queue, and the requests that it was sent in slow start."""

    name: str
    started_at: float | None = None  # seconds of simulated time; None if it started long before the run
    failed: bool = False
    busy_cores: int = 0
    queue: deque[Attempt] = field(default_factory=deque)
    recent_arrivals: deque[float] = field(default_factory=deque)  # times within the last overload_duration
    allowed: float = 0.0  # requests that the settings allow from its start to `allowed_until`
    allowed_until: float = 0.0  # seconds of simulated time
    arrivals: int = 0  # requests since its start
    max_excess: float = -1e9  # requests above the bound of SlowStartLimit.count_arrival in the worst window


class ScheduledCall(NamedTuple):
    """A scheduled function call; `sequence` orders the calls that are due at the same time."""

    due_at: float
    sequence: int
    function: Callable[[], None]


class SlowStartLimit:
    """The load that the settings allow for backends in slow start, and how far arrivals exceed it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    def capacity_fraction(self, backend: SimulatedBackend, now: float) -> float:
        """Return the minimum fraction of its full capacity that a backend has, according to the settings."""
        if backend.started_at is None or now - backend.started_at >= self.settings.slow_start_window:
            return 1.0
        progress = (now - backend.started_at) / self.settings.slow_start_window
        return self.settings.slow_start_minimum + (1.0 - self.settings.slow_start_minimum) * progress

    def allowed_ratio(self, backend: SimulatedBackend, now: float) -> float:
        """Return the allowed load as a multiple of the backend's full capacity."""
        return self.settings.slow_start_overload_ratio * self.capacity_fraction(backend, now)

    def count_arrival(self, backend: SimulatedBackend, now: float) -> None:
        """Count a request to a backend in slow start, and update its excess over N + 2 sqrt(N) + 2 requests.

        N is the number of requests that the settings allow in the window that ends now; the other terms allow
        for chance.
        """
        if backend.started_at is None:
            return
        middle = (backend.allowed_until + now) / 2
        rate = self.allowed_ratio(backend, middle) * CORES / SERVICE_TIME
        backend.allowed += rate * (now - backend.allowed_until)
        backend.allowed_until = now
        backend.arrivals += 1
        window = self.settings.overload_duration
        backend.recent_arrivals.append(now)
        while backend.recent_arrivals[0] < now - window:
            backend.recent_arrivals.popleft()
        # The ratio at the start of the window is the lowest in it.
        lowest_ratio = self.allowed_ratio(backend, max(backend.started_at, now - window))
        allowed = lowest_ratio * CORES / SERVICE_TIME * window
        excess = len(backend.recent_arrivals) - (allowed + 2.0 * allowed**0.5 + 2.0)
        backend.max_excess = max(backend.max_excess, excess)


class FleetSimulation:
    """Simulates one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(case.seed)
        self.settings: Settings = replace(
            SETTINGS,
            gateway_count=case.gateways,
            request_classes=(READ,),
            plans=(UNLIMITED_PLAN,),
            counter_enabled=False,
            slow_start_minimum=0.16,
            slow_start_window=15.0,
            slow_start_overload_ratio=case.overload_ratio,
            overload_duration=1.5,
            max_attempts=4,
        )
        self.slow_start_limit = SlowStartLimit(self.settings)
        self.now = 0.0
        self.last_request_id = 0
        self.scheduled_count = 0
        self.scheduled: list[ScheduledCall] = []
        names = [f"s{number:03d}" for number in range(case.backends)]
        self.backends = {name: SimulatedBackend(name) for name in names}
        endpoints = tuple(self.endpoint(backend) for backend in self.backends.values())
        update = EndpointListUpdate(EndpointListKind.FULL, endpoints)
        self.engines = [self.start_engine(index, update) for index in range(case.gateways)]
        self.in_flight: set[Attempt] = set()
        self.attempt_counts: dict[tuple[int, int], int] = {}  # by gateway and request id
        self.requests = 0  # requests received since FAULT_TIME
        self.served_count = 0  # successful attempts that were sent since FAULT_TIME
        self.rates = self.draw_request_rates()

    def draw_request_rates(self) -> list[float]:
        """Return each gateway's requests per second, which add up to the utilization of the load."""
        rates = [self.random.lognormvariate(0.0, RATE_SIGMA) for _ in self.engines]
        utilization = LOAD_PROFILES[self.case.load].utilization
        scale = utilization * self.case.backends * CORES / SERVICE_TIME / sum(rates)
        return [rate * scale for rate in rates]

    def start_engine(self, index: int, update: EndpointListUpdate) -> PolicyEngine:
        """Return the engine of one gateway, which has handled the endpoint list."""
        settings = replace(self.settings, gateway_index=index)
        engine = PolicyEngine(settings, SEED_STRIDE * self.case.seed + index, 0.0)
        engine.handle(update, 0.0)
        return engine

    def endpoint(self, backend: SimulatedBackend) -> Endpoint:
        """Return a backend's entry in the endpoint list."""
        zone = "abc"[int(backend.name[1:]) % 3]
        return Endpoint(backend.name, zone, "k", 0, EndpointStatus.SERVING, 1.0, backend.started_at)

    def schedule(self, due_at: float, function: Callable[[], None]) -> None:
        """Schedule a function call at `due_at` seconds of simulated time."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, ScheduledCall(due_at, self.scheduled_count, function))

    def run(self) -> FleetSimulation:
        """Run the simulation to its end, and return it."""
        for gateway, rate in enumerate(self.rates):
            self.schedule(self.random.expovariate(rate), partial(self.receive_request, gateway))
        self.schedule(FAULT_TIME, self.restart_and_fail_backends)
        while self.scheduled and self.scheduled[0].due_at < FAULT_TIME + OBSERVED_TIME:
            call = heapq.heappop(self.scheduled)
            self.now = call.due_at
            call.function()
        return self

    def handle(self, gateway: int, event: Event) -> None:
        """Pass an event to one gateway's engine, and execute the engine's actions."""
        for action in self.engines[gateway].handle(event, self.now):
            if isinstance(action, SetTimer):
                fire = partial(self.handle, gateway, TimerFired(action.timer))
                self.schedule(self.now + action.delay, fire)
            elif isinstance(action, StartAttempt):
                self.start_attempt(gateway, action)
            elif isinstance(action, Reject | FailRequest):
                self.attempt_counts.pop((gateway, action.request_id), None)

    def start_attempt(self, gateway: int, action: StartAttempt) -> None:
        """Send an attempt to its backend, and schedule its timeout."""
        index_in_request = self.attempt_counts.get((gateway, action.request_id), 0)
        self.attempt_counts[gateway, action.request_id] = index_in_request + 1
        attempt = Attempt(gateway, action.request_id, index_in_request, action.endpoint_id, self.now)
        self.in_flight.add(attempt)
        self.schedule(self.now + action.timeout, partial(self.time_out_attempt, attempt))
        self.schedule(self.now + NETWORK_DELAY, partial(self.arrive_at_backend, attempt))

    def receive_request(self, gateway: int) -> None:
        """Pass a client's request to a gateway, and schedule the next one."""
        self.last_request_id += 1
        self.requests += self.now > FAULT_TIME
        delay = self.random.expovariate(self.rates[gateway])
        self.schedule(self.now + delay, partial(self.receive_request, gateway))
        request = RequestReceived(
            request_id=self.last_request_id,
            request_class=READ.name,
            plan=UNLIMITED_PLAN.name,
            customer="c",
            deadline=self.now + REQUEST_TIMEOUT,
            units=1.0,
            quota_spread=1,
            first_gateway_index=0,
            is_retry=False,
            client_timeout=CLIENT_TIMEOUT,
        )
        self.handle(gateway, request)

    def arrive_at_backend(self, attempt: Attempt) -> None:
        """Start, queue or reject an attempt that reaches its backend; a failed one accepts no connection."""
        backend = self.backends[attempt.backend]
        if backend.failed:
            end = partial(self.end_attempt, attempt, Outcome.CONNECT_FAILED)
            self.schedule(self.now + CONNECT_TIMEOUT, end)
            return
        self.slow_start_limit.count_arrival(backend, self.now)
        if backend.busy_cores < CORES:
            self.start_service(backend, attempt)
        elif len(backend.queue) < MAX_QUEUE_LENGTH:
            backend.queue.append(attempt)
        else:
            end = partial(self.end_attempt, attempt, Outcome.REJECTED)
            self.schedule(self.now + NETWORK_DELAY, end)

    def start_service(self, backend: SimulatedBackend, attempt: Attempt) -> None:
        """Occupy one core with an attempt, for longer while the backend is in slow start."""
        backend.busy_cores += 1
        factor = self.random.lognormvariate(SERVICE_TIME_MU, SERVICE_TIME_SIGMA)
        duration = factor * SERVICE_TIME / self.slow_start_limit.capacity_fraction(backend, self.now)
        self.schedule(self.now + duration, partial(self.finish_service, attempt))

    def finish_service(self, attempt: Attempt) -> None:
        """Free a core for the next queued attempt, and respond."""
        backend = self.backends[attempt.backend]
        if backend.failed:
            return
        backend.busy_cores -= 1
        while backend.queue and backend.busy_cores < CORES:
            queued = backend.queue.popleft()
            if queued in self.in_flight:  # attempts that have timed out are not started
                self.start_service(backend, queued)
        self.schedule(self.now + NETWORK_DELAY, partial(self.end_attempt, attempt, Outcome.SUCCESS))

    def time_out_attempt(self, attempt: Attempt) -> None:
        """End an attempt at its timeout, unless it has already ended."""
        connecting = self.backends[attempt.backend].failed and self.now - attempt.sent_at < CONNECT_TIMEOUT
        self.end_attempt(attempt, Outcome.CONNECT_FAILED if connecting else Outcome.TIMED_OUT)

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Report an attempt's end to its gateway, unless it has already ended."""
        if attempt not in self.in_flight:
            return
        self.in_flight.discard(attempt)
        succeeded = outcome is Outcome.SUCCESS
        self.served_count += succeeded and attempt.sent_at > FAULT_TIME
        ended = AttemptEnded(
            request_id=attempt.request_id,
            attempt_index=attempt.index_in_request,
            endpoint_id=attempt.backend,
            outcome=outcome,
            elapsed=self.now - attempt.sent_at,
            request_answered=succeeded,
            billed_units=0.0,
            load_report=(),
        )
        self.handle(attempt.gateway, ended)

    def restart_and_fail_backends(self) -> None:
        """Restart some backends and fail others, all at once, and announce the restarts to every gateway."""
        names = list(self.backends)
        self.random.shuffle(names)
        restarted = names[: self.case.restarted]
        for name in names[self.case.restarted : self.case.restarted + self.case.failed]:
            self.backends[name].failed = True
        for name in restarted:
            self.backends[name] = SimulatedBackend(name, self.now, allowed_until=self.now)
        endpoints = tuple(self.endpoint(self.backends[name]) for name in restarted)
        for gateway in range(self.case.gateways):
            if self.case.restarted_by_operator:
                for name in restarted:
                    self.handle(gateway, SetMaintenance(name, True))
                    self.handle(gateway, SetMaintenance(name, False))
            else:
                self.handle(gateway, EndpointListUpdate(EndpointListKind.DELTA, endpoints))
