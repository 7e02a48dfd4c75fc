"""The state of a customer's rate limiter at this gateway, without any policy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from quota_gateway.model.settings import Plan

QUOTA_PERIOD = 1.0  # seconds per demand count: the paper's value, and short compared to clients' timeouts


class HasUnits(Protocol):
    """What the limiter needs to know about a queued request."""

    @property
    def units(self) -> float:
        """Units that the request is charged for."""


Queued = TypeVar("Queued", bound=HasUnits)


@dataclass(frozen=True, slots=True)
class PendingCounterCall:
    """A call to the counter that is in flight."""

    name: str  # name of the counter value
    requested_units: float  # units reported for the request that waits for the reply; 0 if none does
    amount: float  # all units that the call reports, without corrections


class LimiterState(Generic[Queued]):
    """A customer's token balance, queue, demand, and calls to the counter.

    Balances are in units, rates and smoothed demand in units per second, times in seconds.
    """

    def __init__(self, customer: str, plan: Plan, quota_spread: int, now: float, started_at: float) -> None:
        self.customer = customer
        self.plan = plan
        self.quota_spread = quota_spread  # gateways that share the quota
        self.quota_fraction = 1.0 / quota_spread  # this gateway's fraction of the quota
        self.rate = plan.rate * self.quota_fraction
        self.capacity = plan.burst * self.quota_fraction
        self.balance = self.capacity
        self.refilled_at = now  # time of the last refill
        self.queue: list[Queued] = []  # short; an empty deque would take ten times the memory
        self.queued_units = 0.0  # sum over the queue, already charged to the balance
        self.release_timer_at = 0.0  # when the release timer fires; 0 if it is not set
        self.in_flight = 0  # attempts
        # This gateway's even part of the hard limit. Before its start, the gateway may have spent all of it.
        self.hard_limit_capacity = plan.hard_limit_burst / quota_spread
        self.hard_limit_rate = plan.hard_limit_rate / quota_spread
        self.hard_limit_balance = min(self.hard_limit_capacity, self.hard_limit_rate * (now - started_at))
        self.demand_period = -1  # index of the period that `current_demand` covers
        self.current_demand = 0.0  # units requested in that period
        self.previous_demand = 0.0  # units requested in the period before
        self.local_demand = 0.0  # smoothed demand at this gateway
        self.fleet_demand = 0.0  # smoothed demand at all gateways
        self.reading_valid_until = 0.0  # end of the validity of the last reading of the counter
        self.reading_reusable_until = 0.0  # until when no further reading is needed
        self.report_scheduled = False
        self.awaiting_reading = False  # requests are queued until a reading has arrived
        self.reported_demand = 0.0  # units last reported for a period
        self.pending_reading_name = ""  # name of the counter value that is being read
        self.is_fine_grained = False  # the quota is too small to be split among gateways
        self.unreported_units = 0.0  # below 0 if too many were reported
        self.counter_calls: list[PendingCounterCall] = []  # calls in flight, oldest first

    def record_demand(self, units: float, quota_time: float) -> None:
        """Count units that were requested in the current period."""
        period = int(quota_time // QUOTA_PERIOD)
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
        """Remove a request from the queue; it stays charged."""
        self.queue.remove(request)
        self.queued_units = self.queued_units - request.units if self.queue else 0.0
