"""Quota synchronisation: a gateway's part of a quota follows its part of the fleet's demand."""

import zlib
from dataclasses import dataclass

from quota_gateway.model.actions import IncrementCounter
from quota_gateway.model.events import CounterReply
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import ReadDemandTimer, ReportDemandTimer
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import PERIOD
from quota_gateway.state.records import Limiter

READING_LIFETIME = 2.5 * PERIOD  # outlives one lost call, not a silent counter
COUNT_LIFETIME = 4 * PERIOD  # that the counter keeps a period's demand
DEMAND_WEIGHT = 0.5  # of the last period in the smoothed demand: a few requests a second make it jump
NEED_FRACTION = 0.8  # of the even part requested, or of the capacity spent, from which readings are made
ACTIVE_FRACTION = 0.05  # of the quota, as smoothed demand, from which a customer is still active
MIN_QUOTA_FRACTION = 0.1  # of the even part: always left, so that a customer that moves here is not rejected
REPORT_SLOTS = 997  # customers are spread over so many moments of a period, alike at all gateways
REPORT_SLOTS_PER_PERIOD = 1250

FULL_SERVICE_GATEWAYS = 100.0  # for fewer the counter is first assumed to answer every call
SAMPLING_INCREASE = 1.1  # factor of the sampled part for each prompt reply
SAMPLING_DECREASE = 0.7  # and for a call that is rejected or late: one call in five fails at most
MIN_SAMPLING_RATIO = 0.05  # with less, recovery of the counter would not be noticed
PROMPT_FACTOR = 1.25  # times the fastest reply that a prompt one takes: it found next to no queue
FASTEST_REPLY_GROWTH = 1.001  # of the fastest reply's time with each reply: the counter may have slowed
SILENT_AFTER = 3  # failed calls in a row from which the counter is unreachable, not only overloaded
MAX_BACKOFF_EXPONENT = 4


@dataclass(slots=True, eq=False)
class CounterHealth:
    """Tracks the counter's health and sets the sampling ratio; times are seconds."""

    context: EngineContext
    fastest_reply: float
    sampling_ratio: float
    paused_until: float
    consecutive_failures: int = 0

    def is_paused(self) -> bool:
        """Return whether calls to the counter are suspended after failures."""
        return self.context.now < self.paused_until

    def record(self, reply: CounterReply) -> None:
        """Update the estimates by a reply, or by the failure of a call."""
        if reply.outcome is Outcome.SUCCESS:
            self.consecutive_failures = 0
            self.fastest_reply = min(self.fastest_reply * FASTEST_REPLY_GROWTH, reply.elapsed)
            if reply.elapsed <= PROMPT_FACTOR * self.fastest_reply:
                self.sampling_ratio = min(1.0, self.sampling_ratio * SAMPLING_INCREASE)
            return
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_BACKOFF_EXPONENT)
        if reply.outcome is Outcome.CONNECT_FAILED or self.consecutive_failures >= SILENT_AFTER:
            self.paused_until = self.context.now + PERIOD * 2**self.consecutive_failures / 8
        else:
            self.sampling_ratio = max(self.sampling_ratio * SAMPLING_DECREASE, MIN_SAMPLING_RATIO)


@dataclass(slots=True, eq=False)
class QuotaSynchronizer:
    """Reports each customer's demand to the counter once a period, and reads the fleet's."""

    context: EngineContext
    counter: CounterHealth

    def schedule_report(self, limiter: Limiter) -> None:
        """Set the timer of the customer's next report, at a moment that all its gateways share."""
        shared = limiter.quota_spread > 1 and limiter.plan.rate > 0
        if not self.context.settings.counter_enabled or limiter.report_scheduled or not shared:
            return
        limiter.report_scheduled = True
        quota_time = self.context.quota_time
        slot = (zlib.crc32(limiter.customer.encode()) % REPORT_SLOTS) / REPORT_SLOTS_PER_PERIOD
        due = (quota_time // PERIOD + 1 + slot) * PERIOD
        self.context.set_timer(max(due - quota_time, 1e-6), ReportDemandTimer(limiter.customer))

    def report_demand(self, limiter: Limiter) -> None:
        """Report the last period's demand, unless the customer is far from its quota."""
        now = self.context.now
        limiter.record_demand(0.0, self.context.quota_time)
        period = limiter.demand_period - 1
        demand = limiter.previous_demand
        limiter.local_demand += DEMAND_WEIGHT * (demand / PERIOD - limiter.local_demand)
        limiter.refill(now)
        if limiter.reading_valid_until < now:
            limiter.set_quota_fraction(1.0 / limiter.quota_spread, now)
        lasting = limiter.local_demand > ACTIVE_FRACTION * limiter.plan.rate
        if demand > 0 or limiter.current_demand > 0 or lasting:
            self.schedule_report(limiter)
        if not self.counter.is_paused() and _is_near_quota(limiter):
            limiter.reported_demand = demand
            if demand > 0:
                name = f"{limiter.customer}.{period}"
                self.context.emit(IncrementCounter(name, demand, COUNT_LIFETIME))
            wait = max(self.context.settings.counter_timeout, EPSILON)
            self.context.set_timer(wait, ReadDemandTimer(limiter.customer, period))

    def read_demand(self, limiter: Limiter, period: int) -> None:
        """Ask the counter for the fleet's demand in a period."""
        if not self.counter.is_paused():
            limiter.expected_reading = f"{limiter.customer}.{period}"
            self.context.emit(IncrementCounter(limiter.expected_reading, 0.0, COUNT_LIFETIME))

    def apply_reading(self, limiter: Limiter, total: float) -> bool:
        """Move the quota fraction by the fleet's demand; False where the counter has lost counts."""
        limiter.expected_reading = ""
        if total < limiter.reported_demand * (1.0 - 1e-6) - EPSILON:
            return False
        now = self.context.now
        limiter.fleet_demand += DEMAND_WEIGHT * (total / PERIOD - limiter.fleet_demand)
        limiter.fleet_demand = max(limiter.fleet_demand, limiter.local_demand)
        limiter.reading_valid_until = now + READING_LIFETIME
        quota = limiter.plan.rate
        spare = (quota - limiter.fleet_demand) / limiter.quota_spread
        if spare >= 0:
            rate = limiter.local_demand + spare
        else:
            rate = quota * limiter.local_demand / limiter.fleet_demand
        minimum = MIN_QUOTA_FRACTION / limiter.quota_spread
        limiter.set_quota_fraction(max(rate / quota, minimum), now)
        return True


def _is_near_quota(limiter: Limiter) -> bool:
    even_rate = limiter.plan.rate / limiter.quota_spread
    spent = limiter.balance < (1.0 - NEED_FRACTION) * limiter.capacity
    return spent or limiter.local_demand > NEED_FRACTION * even_rate
