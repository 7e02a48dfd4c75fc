"""Quota synchronization: divides a customer's quota among gateways by their part of the demand."""

import zlib
from dataclasses import dataclass

from quota_gateway.model.actions import IncrementCounter
from quota_gateway.model.events import CounterReply
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import ReadDemandTimer, ReportDemandTimer
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD
from quota_gateway.state.records import Limiter

READING_LIFETIME = 2.5 * QUOTA_PERIOD  # seconds: a reading outlasts one lost call, not an unreachable counter
COUNT_LIFETIME = 4 * QUOTA_PERIOD  # seconds for which the counter keeps the demand of a period
DEMAND_WEIGHT = 0.5  # weight of the last period in the smoothed demand: with few requests a second it jumps
# Fraction of the gateway's even part of the quota that is in demand, or of its capacity that is spent, above
# which demand is reported and read.
NEAR_QUOTA_FRACTION = 0.8
ACTIVE_DEMAND_FRACTION = 0.05  # smoothed demand, as a fraction of the quota, above which a customer is active
# Lowest quota fraction, relative to the even part: a customer whose traffic moves here is not rejected.
MIN_QUOTA_FRACTION = 0.1
# Customers are spread over the first slots of a period, by a hash that is the same at all gateways.
REPORT_SLOTS = 997
REPORT_SLOTS_PER_PERIOD = 1250

# Largest fleet, in gateways, for which the counter is initially assumed to answer every call.
FULL_SERVICE_GATEWAYS = 100.0
# Factors of the sampling ratio for a prompt reply and for a rejected or late call: one call in five fails at
# most.
SAMPLING_INCREASE = 1.1
SAMPLING_DECREASE = 0.7
MIN_SAMPLING_RATIO = 0.05  # a lower ratio would leave too few calls to notice that the counter has recovered
PROMPT_REPLY_FACTOR = 1.25  # longest prompt reply, relative to the fastest one: the call met hardly any queue
FASTEST_REPLY_GROWTH = 1.001  # factor of the fastest reply's time with each reply: the counter may slow down
UNREACHABLE_FAILURES = 3  # consecutive failures from which the counter is unreachable rather than overloaded
MAX_BACKOFF_EXPONENT = 4  # highest exponent of the backoff, which is QUOTA_PERIOD / 8 times a power of two


@dataclass(slots=True, eq=False)
class CounterHealth:
    """Tracks the counter's health, and adapts the sampling ratio to its load; times are in seconds."""

    context: EngineContext
    fastest_reply_time: float
    sampling_ratio: float
    backoff_until: float
    consecutive_failures: int = 0

    def is_backing_off(self) -> bool:
        """Return whether calls to the counter are suspended after failures."""
        return self.context.now < self.backoff_until

    def record_reply(self, reply: CounterReply) -> None:
        """Update the estimates after a reply or a failed call."""
        if reply.outcome is Outcome.SUCCESS:
            self.consecutive_failures = 0
            self.fastest_reply_time = min(self.fastest_reply_time * FASTEST_REPLY_GROWTH, reply.elapsed)
            if reply.elapsed <= PROMPT_REPLY_FACTOR * self.fastest_reply_time:
                self.sampling_ratio = min(1.0, self.sampling_ratio * SAMPLING_INCREASE)
            return
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_BACKOFF_EXPONENT)
        if reply.outcome is Outcome.CONNECT_FAILED or self.consecutive_failures >= UNREACHABLE_FAILURES:
            self.backoff_until = self.context.now + QUOTA_PERIOD * 2**self.consecutive_failures / 8
        else:
            self.sampling_ratio = max(self.sampling_ratio * SAMPLING_DECREASE, MIN_SAMPLING_RATIO)


@dataclass(slots=True, eq=False)
class QuotaSynchronizer:
    """Reports each customer's demand to the counter once a period, and reads the fleet's demand."""

    context: EngineContext
    counter_health: CounterHealth

    def schedule_report(self, limiter: Limiter) -> None:
        """Schedule the customer's next report, in the same slot of the period as at the other gateways."""
        shared = limiter.quota_spread > 1 and limiter.plan.rate > 0
        if not self.context.settings.counter_enabled or limiter.report_scheduled or not shared:
            return
        limiter.report_scheduled = True
        quota_time = self.context.quota_time
        slot = (zlib.crc32(limiter.customer.encode()) % REPORT_SLOTS) / REPORT_SLOTS_PER_PERIOD
        report_at = (quota_time // QUOTA_PERIOD + 1 + slot) * QUOTA_PERIOD
        self.context.set_timer(max(report_at - quota_time, 1e-6), ReportDemandTimer(limiter.customer))

    def report_demand(self, limiter: Limiter) -> None:
        """Report the last period's demand and schedule a reading, if the customer is near its quota."""
        now = self.context.now
        limiter.record_demand(0.0, self.context.quota_time)
        period = limiter.demand_period - 1
        demand = limiter.previous_demand
        limiter.local_demand += DEMAND_WEIGHT * (demand / QUOTA_PERIOD - limiter.local_demand)
        limiter.refill(now)
        if limiter.reading_valid_until < now:
            limiter.set_quota_fraction(1.0 / limiter.quota_spread, now)
        is_active = limiter.local_demand > ACTIVE_DEMAND_FRACTION * limiter.plan.rate
        if demand > 0 or limiter.current_demand > 0 or is_active:
            self.schedule_report(limiter)
        if not self.counter_health.is_backing_off() and _is_near_quota(limiter):
            limiter.reported_demand = demand
            if demand > 0:
                name = f"{limiter.customer}.{period}"
                self.context.emit(IncrementCounter(name, demand, COUNT_LIFETIME))
            delay = max(self.context.settings.counter_timeout, EPSILON)
            self.context.set_timer(delay, ReadDemandTimer(limiter.customer, period))

    def request_demand(self, limiter: Limiter, period: int) -> None:
        """Request the fleet's demand in a period from the counter."""
        if not self.counter_health.is_backing_off():
            limiter.pending_reading_name = f"{limiter.customer}.{period}"
            self.context.emit(IncrementCounter(limiter.pending_reading_name, 0.0, COUNT_LIFETIME))

    def apply_reading(self, limiter: Limiter, total: float) -> bool:
        """Adjust the quota fraction to the fleet's demand; return False if the counter has lost counts."""
        limiter.pending_reading_name = ""
        if total < limiter.reported_demand * (1.0 - 1e-6) - EPSILON:
            return False
        now = self.context.now
        limiter.fleet_demand += DEMAND_WEIGHT * (total / QUOTA_PERIOD - limiter.fleet_demand)
        limiter.fleet_demand = max(limiter.fleet_demand, limiter.local_demand)
        limiter.reading_valid_until = now + READING_LIFETIME
        quota = limiter.plan.rate
        spare_rate = (quota - limiter.fleet_demand) / limiter.quota_spread
        if spare_rate >= 0:
            rate = limiter.local_demand + spare_rate
        else:
            rate = quota * limiter.local_demand / limiter.fleet_demand
        minimum = MIN_QUOTA_FRACTION / limiter.quota_spread
        limiter.set_quota_fraction(max(rate / quota, minimum), now)
        return True


def _is_near_quota(limiter: Limiter) -> bool:
    even_rate = limiter.plan.rate / limiter.quota_spread
    mostly_spent = limiter.balance < (1.0 - NEAR_QUOTA_FRACTION) * limiter.capacity
    return mostly_spent or limiter.local_demand > NEAR_QUOTA_FRACTION * even_rate
