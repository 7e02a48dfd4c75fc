"""The state of one customer's rate limiter at this gateway, and its bookkeeping; it makes no decision."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from quota_gateway.model.settings import Plan

PERIOD = 1.0  # seconds that a demand count covers: the paper's value, and short against clients' timeouts


class Sized(Protocol):
    """What the limiter needs to know of a queued request."""

    @property
    def units(self) -> float:
        """Units that the request is charged."""


Queued = TypeVar("Queued", bound=Sized)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter that is in flight."""

    name: str
    requested_units: float  # for the request that waits for the reply
    amount: float  # all units that the call reports as used


class LimiterState(Generic[Queued]):
    """A customer's token balance, queue, demand and calls to the counter; times are seconds."""

    def __init__(self, customer: str, plan: Plan, quota_spread: int, now: float, started_at: float) -> None:
        self.customer = customer
        self.plan = plan
        self.quota_spread = quota_spread  # gateways that share the quota
        self.quota_fraction = 1.0 / quota_spread
        self.rate = plan.rate * self.quota_fraction
        self.capacity = plan.burst * self.quota_fraction
        self.balance = self.capacity
        self.updated_at = now
        self.queue: deque[Queued] = deque()
        self.queued_units = 0.0
        self.release_due = 0.0  # when the release timer fires
        self.in_flight = 0
        # this gateway's part of the hard limit: before its start it may have spent all of it
        self.hard_limit_capacity = plan.hard_limit_burst / quota_spread
        self.hard_limit_rate = plan.hard_limit_rate / quota_spread
        self.hard_limit_balance = min(self.hard_limit_capacity, self.hard_limit_rate * (now - started_at))
        self.demand_period = -1
        self.current_demand = 0.0  # units asked for in this period
        self.previous_demand = 0.0
        self.local_demand = 0.0  # smoothed, in units a second
        self.fleet_demand = 0.0
        self.reading_valid_until = 0.0
        self.reading_fresh_until = 0.0
        self.report_scheduled = False
        self.awaiting_reading = False
        self.reported_demand = 0.0
        self.expected_reading = ""  # name of the counter value that is being read
        self.is_fine_grained = False  # the quota is too small to be split among its gateways
        self.unreported_units = 0.0  # below 0: too many were reported
        self.counter_calls: deque[CounterCall] = deque()

    def record_demand(self, units: float, quota_time: float) -> None:
        """Count units that a client asked for in the present period."""
        period = int(quota_time // PERIOD)
        if period != self.demand_period:
            self.previous_demand = self.current_demand if period == self.demand_period + 1 else 0.0
            self.demand_period = period
            self.current_demand = 0.0
        self.current_demand += units

    def enqueue(self, request: Queued) -> None:
        """Charge a request and queue it."""
        self.queue.append(request)
        self.queued_units += request.units
        self.balance -= request.units

    def dequeue(self, request: Queued) -> None:
        """Take a request out of the queue; it stays charged."""
        self.queue.remove(request)
        self.queued_units = self.queued_units - request.units if self.queue else 0.0
