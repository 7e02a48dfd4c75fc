"""Quotas that are too small to split: a gateway's part of the burst might not cover a single request.

Such a quota is shared. The counter sums the units that all gateways forwarded, and a reading of it gives the
balance of the entire quota. While the counter is overloaded, only a sample of the requests calls it, on
behalf of all of them.
"""

from dataclasses import dataclass

from quota_gateway.model.actions import IncrementCounter
from quota_gateway.model.events import CounterReply
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Settings
from quota_gateway.model.timers import ReportDemandTimer
from quota_gateway.policy.quota_sync import READING_LIFETIME, CounterHealth
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_state import QUOTA_PERIOD, PendingCounterCall
from quota_gateway.state.records import Limiter, PendingRequest

COUNTER_EPOCH = 60.0  # seconds of use summed under one counter name: the counter keeps no name for longer
READING_REUSE_TIME = QUOTA_PERIOD / 10  # seconds for which a reading also decides on further requests
REPORT_DELAY = 0.25 * QUOTA_PERIOD  # seconds until units are reported that no request waits for
CORRECTION_THRESHOLD = 0.25  # unused units, as a fraction of the burst, from which the counter is corrected
GRANT_WEIGHT = 0.15  # weight of one reading in a grant ratio: about the last dozen readings count


def initial_grant_ratios(settings: Settings) -> dict[tuple[str, bool, bool], float]:
    """Return the initial ratios: requests that are covered locally and are not retries count as granted."""
    combinations = [(False, False), (False, True), (True, False), (True, True)]
    return {
        (plan.name, covered, retry): float(covered and not retry)
        for plan in settings.plans
        for covered, retry in combinations
    }


@dataclass(slots=True, eq=False)
class FineGrainedQuota:
    """Reads and reports the units of quotas that are too small to split."""

    context: EngineContext
    counter_health: CounterHealth
    # Fraction of the sampled requests that the quota covered, by plan name, by whether this gateway's part of
    # the quota covered them, and by whether they were retries, which most likely were rejected by another
    # gateway for lack of quota.
    grant_ratios: dict[tuple[str, bool, bool], float]

    def request_reading(self, request: PendingRequest) -> None:
        """Call the counter, unless the local balance decides; the request waits for the reply."""
        limiter = request.limiter
        now = self.context.now
        expired = now >= limiter.reading_valid_until
        if expired and limiter.quota_fraction == 1.0:
            limiter.set_quota_fraction(1.0 / limiter.quota_spread, now)
        if (
            limiter.awaiting_reading
            or now < limiter.reading_reusable_until
            or self.counter_health.is_backing_off()
        ):
            return
        wait = limiter.wait_time(request.units)
        if not expired and wait > request.queue_deadline - now:
            return  # the quota does not cover it in time, even if no other gateway has used any since
        covered = wait <= 0 and (expired or limiter.balance >= limiter.capacity / 2)
        worth_forwarding = self._is_worth_forwarding_unsampled(request, covered)
        if self.context.random.random() >= self.counter_health.sampling_ratio:
            request.reported_units = -1.0
            request.admitted_unsampled = worth_forwarding
            return
        request.covered_locally = covered
        request.reported_units = (
            request.units / self.counter_health.sampling_ratio if worth_forwarding else request.units
        )
        limiter.awaiting_reading = True
        self._call_counter(limiter, request.reported_units)

    def _is_worth_forwarding_unsampled(self, request: PendingRequest, covered: bool) -> bool:
        """Return whether forwarding without a reading is worth its expected cost, by the grant ratio."""
        plan = request.plan
        grant_ratio = self.grant_ratios[plan.name, covered, request.request.is_retry]
        return grant_ratio + (1.0 - grant_ratio) * (plan.over_quota_value - plan.over_quota_cost) >= 0

    def _call_counter(self, limiter: Limiter, requested_units: float, correction: float = 0.0) -> None:
        name = f"{limiter.customer}.{int(self.context.quota_time // COUNTER_EPOCH)}"
        amount = limiter.unreported_units + requested_units
        limiter.counter_calls.append(PendingCounterCall(name, requested_units, amount))
        self.context.emit(IncrementCounter(name, amount + correction, COUNTER_EPOCH))
        limiter.unreported_units = 0.0

    def report_pending_units(self, limiter: Limiter) -> None:
        """Report units that have not been reported yet to the counter."""
        if limiter.unreported_units and not self.counter_health.is_backing_off():
            self._call_counter(limiter, 0.0)

    def request_forwarded(self, request: PendingRequest) -> None:
        """Schedule a report of the request's units, unless a call has reported them."""
        if request.limiter.is_fine_grained and request.reported_units == 0:
            request.reported_units = request.units
            self._schedule_report(request.limiter, request.units)

    def request_withdrawn(self, request: PendingRequest) -> None:
        """Schedule a correction of the units reported for a request that is not forwarded."""
        if request.limiter.is_fine_grained and request.reported_units > 0:
            self._schedule_report(request.limiter, -request.reported_units)
            request.reported_units = 0.0

    def _schedule_report(self, limiter: Limiter, units: float) -> None:
        limiter.unreported_units += units
        if not limiter.report_scheduled:
            limiter.report_scheduled = True
            delay = REPORT_DELAY / self.counter_health.sampling_ratio
            self.context.set_timer(delay, ReportDemandTimer(limiter.customer))

    def apply_reply(self, limiter: Limiter, reply: CounterReply) -> bool:
        """Apply a reading, or the failure of its call; return False if no such call is in flight."""
        call = next((call for call in limiter.counter_calls if call.name == reply.name), None)
        if call is None:
            return False
        limiter.counter_calls.remove(call)
        if reply.outcome is Outcome.SUCCESS:
            self._apply_total(limiter, call, reply.total)
        elif reply.outcome is not Outcome.TIMED_OUT:  # such a call has added nothing
            limiter.unreported_units += call.amount
        limiter.awaiting_reading = False
        return True

    def _apply_total(self, limiter: Limiter, call: PendingCounterCall, total: float) -> None:
        """Set the balance from the units that all gateways forwarded in this epoch."""
        now = self.context.now
        burst = limiter.plan.burst
        # Tokens earned in this epoch less those used, as if the burst were unlimited.
        unused = limiter.plan.rate * (self.context.quota_time % COUNTER_EPOCH) - total
        self._correct_total(limiter, call, total, unused)
        limiter.set_quota_fraction(1.0, now)
        balance = burst + unused + call.requested_units
        self._record_grant(limiter, call, balance)
        forwarded_units = call.amount - call.requested_units
        if balance < 0 < forwarded_units:  # units beyond the quota are not charged to it
            self._schedule_report(limiter, -min(forwarded_units, -balance))
        limiter.balance = min(burst, balance) - limiter.queued_units
        limiter.reading_reusable_until = now + READING_REUSE_TIME
        limiter.reading_valid_until = now + READING_LIFETIME

    def _correct_total(self, limiter: Limiter, call: PendingCounterCall, total: float, unused: float) -> None:
        """Raise the counter so that it stays within a burst of what the quota has earned."""
        burst = limiter.plan.burst
        if unused > burst and total <= call.amount + EPSILON:  # the first call for a new or expired name
            self._call_counter(limiter, 0.0, unused)
        elif call.amount and unused > CORRECTION_THRESHOLD * burst:  # other gateways may be correcting too
            self._call_counter(limiter, 0.0, min(unused, burst / 2))

    def _record_grant(self, limiter: Limiter, call: PendingCounterCall, balance: float) -> None:
        first = limiter.queue[0] if limiter.queue else None
        if call.requested_units > 0 and first is not None and first.reported_units > 0:
            key = (limiter.plan.name, first.covered_locally, first.request.is_retry)
            self.grant_ratios[key] += GRANT_WEIGHT * ((balance >= first.units) - self.grant_ratios[key])
