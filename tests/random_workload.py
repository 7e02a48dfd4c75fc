"""Random events from outside a gateway: clients, endpoint lists, operators and hot restarts.

The order of the random draws is part of the recordings under tests/recorded: a further draw changes all those
after it.
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
STEP_DELAYS = (0.001, 0.01, 0.05, 0.3)  # seconds; each is scaled by a factor below 1
TIME_BUDGETS = (0.4, 1.0, 2.0, 4.0)  # seconds from a request's arrival to its deadline
UPLOAD_TIME_BUDGET = 900.0  # seconds, while a request's body is incomplete
# Values stand as often as they are to be drawn.
CLASSES = ("read", "read", "keyed", "pay")
PLANS = ("small", "small", "capped", "open", "wide", "extra")
LIST_KINDS = (
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
WIDE = replace(SMALL_PLAN, name="wide", rate=40.0, burst=80.0)
EXTRA = replace(SMALL_PLAN, name="extra", rate=3.0, burst=6.0, over_quota_value=2.0)


def random_settings(chance: random.Random) -> Settings:
    """Draw the settings that decide which branches the engine takes."""
    return replace(
        SETTINGS,
        gateway_index=1,
        gateway_count=chance.choice([2, 2, 6, 40]),
        plans=(SMALL_PLAN, CAPPED_PLAN, CONCURRENCY_PLAN, WIDE, EXTRA),
        push_discovery_enabled=chance.random() < 0.5,
        counter_enabled=chance.random() < 0.8,
        cancellation_allowed=chance.random() < 0.8,
        hedging_allowed=chance.random() < 0.3,
        retry_after_allowed=chance.random() < 0.8,
        charges_billed_units=chance.random() < 0.5,
    )


class RandomWorkload:
    """Draws events one by one, and has the processes handle them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.processes = ProcessPair(random_settings(self.chance), seed, self.chance)
        self.last_request_id = 0
        endpoints = tuple(self.endpoint(name) for name in INITIAL_ENDPOINTS)
        self.processes.handle(0, EndpointListUpdate(EndpointListKind.CACHED, endpoints))

    def endpoint(self, name: str, status: EndpointStatus = EndpointStatus.SERVING) -> Endpoint:
        """Return an endpoint that started at an unknown time, lately, or a minute ago."""
        number = int(name[1:])
        now = self.processes.now
        started = self.chance.choice([None, None, now - 4.0 * self.chance.random(), now - 60.0])
        return Endpoint(name, "abc"[number % 3], f"k{number % 2}", number % 4, status, 1.0, started)

    def step(self) -> None:
        """Let a random time pass, and then one event of random kind come to a random process."""
        delay = self.chance.choice(STEP_DELAYS) * self.chance.random()
        self.processes.run_until(self.processes.now + delay)
        process = self.chance.randrange(len(self.processes.engines))
        draw = self.chance.random()
        if draw < 0.72:
            self.send_request(process)
        elif draw < 0.80:
            self.end_client(process)
        elif draw < 0.88:
            self.update_endpoints(process)
        elif draw < 0.92:
            self.advance_upload(process)
        elif draw < 0.97:
            self.operate(process)
        else:
            self.check_health(process)

    def send_request(self, process: int) -> None:
        """Have a client send a request, now and then one with a long body."""
        self.last_request_id += 1
        request_class = self.chance.choice(CLASSES)
        plan = self.chance.choice(PLANS)
        uploading = self.chance.random() < 0.05
        time_budget = self.chance.choice(TIME_BUDGETS)
        quota_spread = self.chance.choice([0, 1, 2, 6])
        request = RequestReceived(
            request_id=self.last_request_id,
            request_class=request_class,
            plan=plan,
            customer=f"{plan}{self.chance.randrange(3)}",
            deadline=self.processes.now + (UPLOAD_TIME_BUDGET if uploading else time_budget),
            units=self.chance.choice([0.5, 1.0, 1.0, 2.0, 3.5]),
            quota_spread=quota_spread,
            first_gateway_index=0,
            is_retry=self.chance.random() < 0.25,
            client_timeout=self.chance.choice([0.0, time_budget]),
            body_incomplete=uploading,
        )
        if uploading:
            self.processes.uploads[RequestKey(process, self.last_request_id)] = time_budget
        self.processes.handle(process, request)

    def end_client(self, process: int) -> None:
        """Have the client of one of the last requests disconnect, or close its sending side."""
        request_id = max(1, self.last_request_id - self.chance.randrange(6))
        disconnects = self.chance.random() < 0.5
        event = ClientDisconnected(request_id) if disconnects else ClientHalfClosed(request_id)
        self.processes.handle(process, event)

    def update_endpoints(self, process: int) -> None:
        """Have discovery answer a poll with one changed endpoint, a list, or a failure."""
        kind = self.chance.choice(LIST_KINDS)
        endpoints: tuple[Endpoint, ...]
        if kind is EndpointListKind.FAILED:
            endpoints = ()
        elif kind is EndpointListKind.DELTA:
            status = self.chance.choice(STATUSES)
            endpoints = (self.endpoint(self.chance.choice(ENDPOINTS), status),)
        else:
            endpoints = tuple(self.endpoint(name) for name in ENDPOINTS if self.chance.random() < 0.8)
        self.processes.handle(process, EndpointListUpdate(kind, endpoints))

    def advance_upload(self, process: int) -> None:
        """Have one of the process's long bodies be consumed in part, or come to its end."""
        uploads = [key for key in self.processes.uploads if key.process == process]
        if not uploads:
            return
        upload = self.chance.choice(uploads)
        if self.chance.random() < 0.5:
            self.processes.handle(process, RequestBodyConsumed(upload.request_id))
            return
        deadline = self.processes.now + self.processes.uploads.pop(upload)
        self.processes.handle(process, RequestBodyReceived(upload.request_id, deadline))

    def operate(self, process: int) -> None:
        """Have an operator change maintenance or draining, or start a second process.

        Once there are two processes, one goes or comes back in place of that, and has the other's state.
        """
        draw = self.chance.random()
        if draw < 0.55:
            name = self.chance.choice(ENDPOINTS)
            self.processes.handle(process, SetMaintenance(name, self.chance.random() < 0.4))
        elif draw < 0.75:
            self.processes.handle(process, SetDraining(self.chance.random() < 0.3))
        elif len(self.processes.engines) == 1:
            self.processes.start_successor()
        else:
            self.processes.announce_peer(self.chance.random() < 0.7)
            self.processes.transfer_state(process, 1 - process)

    def check_health(self, process: int) -> None:
        """Have a health check succeed, and record what the process says of itself."""
        name = self.chance.choice(ENDPOINTS)
        self.processes.handle(process, HealthCheckResult(name, Outcome.SUCCESS, 0.01, ()))
        self.processes.write_status(process)
