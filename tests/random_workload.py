"""Random events from outside a gateway: clients, endpoint lists, operators and hot restarts.

The recordings under tests/recorded depend on the order of the random draws: an additional draw changes all
later ones.
"""

from __future__ import annotations

import random
from dataclasses import replace

from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import (
    ClientDisconnected,
    ClientHalfClosed,
    EndpointListUpdate,
    HealthCheckResult,
    RequestBodyConsumed,
    RequestBodyReceived,
    RequestReceived,
    SetDraining,
    SetMaintenance,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Settings
from tests.policy_harness import CAPPED_PLAN, CONCURRENCY_PLAN, SETTINGS, SMALL_PLAN
from tests.process_pair import ProcessPair, RequestKey

ENDPOINTS = tuple(f"e{number}" for number in range(9))
INITIAL_ENDPOINTS = ENDPOINTS[:6]
STEP_DELAYS = (0.001, 0.01, 0.05, 0.3)  # seconds; each is scaled by a random factor below 1
TIME_BUDGETS = (0.4, 1.0, 2.0, 4.0)  # seconds from a request's arrival to its deadline
UPLOAD_TIME_BUDGET = 900.0  # seconds, while a request's body is incomplete
# A value that is listed several times is drawn more often.
REQUEST_CLASSES = ("read", "read", "keyed", "pay")
PLANS = ("small", "small", "capped", "open", "wide", "extra")
ENDPOINT_LIST_KINDS = (
    EndpointListKind.DELTA,
    EndpointListKind.DELTA,
    EndpointListKind.DELTA,
    EndpointListKind.FULL,
    EndpointListKind.FAILED,
    EndpointListKind.CACHED,
)
STATUSES = (
    EndpointStatus.SERVING,
    EndpointStatus.SERVING,
    EndpointStatus.DRAINING,
    EndpointStatus.REMOVED,
)
WIDE_PLAN = replace(SMALL_PLAN, name="wide", rate=40.0, burst=80.0)
EXTRA_PLAN = replace(SMALL_PLAN, name="extra", rate=3.0, burst=6.0, over_quota_value=2.0)


def random_settings(rng: random.Random) -> Settings:
    """Draw the settings that decide which branches the engine takes."""
    return replace(
        SETTINGS,
        gateway_index=1,
        gateway_count=rng.choice([2, 2, 6, 40]),
        plans=(SMALL_PLAN, CAPPED_PLAN, CONCURRENCY_PLAN, WIDE_PLAN, EXTRA_PLAN),
        push_discovery_enabled=rng.random() < 0.5,
        counter_enabled=rng.random() < 0.8,
        cancellation_allowed=rng.random() < 0.8,
        hedging_allowed=rng.random() < 0.3,
        retry_after_allowed=rng.random() < 0.8,
        charges_billed_units=rng.random() < 0.5,
    )


class RandomWorkload:
    """Draws random events one at a time, and passes them to one or two processes of a gateway."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.processes = ProcessPair(random_settings(self.rng), seed, self.rng)
        self.last_request_id = 0
        endpoints = tuple(self.endpoint(name) for name in INITIAL_ENDPOINTS)
        self.processes.handle(0, EndpointListUpdate(EndpointListKind.CACHED, endpoints))

    def endpoint(self, name: str, status: EndpointStatus = EndpointStatus.SERVING) -> Endpoint:
        """Return an endpoint that started at an unknown time, within the last 4 s, or 60 s ago."""
        number = int(name[1:])
        now = self.processes.now
        started = self.rng.choice([None, None, now - 4.0 * self.rng.random(), now - 60.0])
        return Endpoint(name, "abc"[number % 3], f"k{number % 2}", number % 4, status, 1.0, started)

    def step(self) -> None:
        """Advance the time by a random delay, and pass one random event to a random process."""
        delay = self.rng.choice(STEP_DELAYS) * self.rng.random()
        self.processes.run_until(self.processes.now + delay)
        process = self.rng.randrange(len(self.processes.engines))
        draw = self.rng.random()
        if draw < 0.72:
            self.send_request(process)
        elif draw < 0.80:
            self.end_client(process)
        elif draw < 0.88:
            self.update_endpoints(process)
        elif draw < 0.92:
            self.advance_upload(process)
        elif draw < 0.97:
            self.apply_operator_command(process)
        else:
            self.check_health(process)

    def send_request(self, process: int) -> None:
        """Send a client's request, whose body is still incomplete in one of 20 cases."""
        self.last_request_id += 1
        request_class = self.rng.choice(REQUEST_CLASSES)
        plan = self.rng.choice(PLANS)
        uploading = self.rng.random() < 0.05
        time_budget = self.rng.choice(TIME_BUDGETS)
        quota_spread = self.rng.choice([0, 1, 2, 6])
        request = RequestReceived(
            request_id=self.last_request_id,
            request_class=request_class,
            plan=plan,
            customer=f"{plan}{self.rng.randrange(3)}",
            deadline=self.processes.now + (UPLOAD_TIME_BUDGET if uploading else time_budget),
            units=self.rng.choice([0.5, 1.0, 1.0, 2.0, 3.5]),
            quota_spread=quota_spread,
            first_gateway_index=0,
            is_retry=self.rng.random() < 0.25,
            client_timeout=self.rng.choice([0.0, time_budget]),
            body_incomplete=uploading,
        )
        if uploading:
            self.processes.uploads[RequestKey(process, self.last_request_id)] = time_budget
        self.processes.handle(process, request)

    def end_client(self, process: int) -> None:
        """Disconnect the client of one of the last six requests, or close its sending side."""
        request_id = max(1, self.last_request_id - self.rng.randrange(6))
        disconnects = self.rng.random() < 0.5
        event = ClientDisconnected(request_id) if disconnects else ClientHalfClosed(request_id)
        self.processes.handle(process, event)

    def update_endpoints(self, process: int) -> None:
        """Deliver the result of a discovery poll: one changed endpoint, a list, or a failure."""
        kind = self.rng.choice(ENDPOINT_LIST_KINDS)
        endpoints: tuple[Endpoint, ...]
        if kind is EndpointListKind.FAILED:
            endpoints = ()
        elif kind is EndpointListKind.DELTA:
            status = self.rng.choice(STATUSES)
            endpoints = (self.endpoint(self.rng.choice(ENDPOINTS), status),)
        else:
            endpoints = tuple(self.endpoint(name) for name in ENDPOINTS if self.rng.random() < 0.8)
        self.processes.handle(process, EndpointListUpdate(kind, endpoints))

    def advance_upload(self, process: int) -> None:
        """Report that part of an incomplete body was consumed, or that all of it was received."""
        uploads = [key for key in self.processes.uploads if key.process == process]
        if not uploads:
            return
        upload = self.rng.choice(uploads)
        if self.rng.random() < 0.5:
            self.processes.handle(process, RequestBodyConsumed(upload.request_id))
            return
        deadline = self.processes.now + self.processes.uploads.pop(upload)
        self.processes.handle(process, RequestBodyReceived(upload.request_id, deadline))

    def apply_operator_command(self, process: int) -> None:
        """Change maintenance or draining as an operator does, or start a second process.

        With two processes, the peer is announced as present or gone instead, and the state of one process is
        transferred to the other.
        """
        draw = self.rng.random()
        if draw < 0.55:
            name = self.rng.choice(ENDPOINTS)
            self.processes.handle(process, SetMaintenance(name, self.rng.random() < 0.4))
        elif draw < 0.75:
            self.processes.handle(process, SetDraining(self.rng.random() < 0.3))
        elif len(self.processes.engines) == 1:
            self.processes.start_successor()
        else:
            self.processes.announce_peer(self.rng.random() < 0.7)
            self.processes.transfer_state(process, 1 - process)

    def check_health(self, process: int) -> None:
        """Report a successful health check, and record the status of the process."""
        name = self.rng.choice(ENDPOINTS)
        self.processes.handle(process, HealthCheckResult(name, Outcome.SUCCESS, 0.01, ()))
        self.processes.write_status(process)
