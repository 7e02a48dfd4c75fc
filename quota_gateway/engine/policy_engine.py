"""The policy engine: dispatches events to the mechanisms and collects their actions."""

from __future__ import annotations

import random

from quota_gateway.engine.state_snapshot import load_state, restore_state, save_state
from quota_gateway.model import actions, charges, events, timers
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Settings
from quota_gateway.model.settings_validation import validate_settings
from quota_gateway.policy.admission import AdmissionController
from quota_gateway.policy.attempt_results import AttemptResults
from quota_gateway.policy.endpoint_registry import EndpointRegistry
from quota_gateway.policy.fine_grained_quota import FineGrainedQuota, initial_grant_ratios
from quota_gateway.policy.forwarding import Forwarder
from quota_gateway.policy.latency_estimates import LatencyEstimates
from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy.outlier_detection import decay_score, is_outlier
from quota_gateway.policy.quota_sync import FULL_SERVICE_GATEWAYS, CounterHealth, QuotaSynchronizer
from quota_gateway.policy.request_lifecycle import RequestLifecycle
from quota_gateway.policy.request_queue import RequestQueue
from quota_gateway.policy.retries import RetryBudget
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state.context import EngineContext
from quota_gateway.state.limiter_registry import LimiterRegistry
from quota_gateway.state.peer_process import PeerProcess
from quota_gateway.state.records import EndpointState, Limiter

RECENT_USE_WINDOW = 1.5  # seconds since its last attempt for which an outlier still counts as available


class PolicyEngine:
    """Makes one gateway's decisions from its settings and events alone; has no I/O, clock or tasks."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        """Create and connect the mechanisms; `seed` is for the random numbers, `now` is in seconds."""
        validate_settings(settings)
        self.context = context = EngineContext(settings, random.Random(seed), now, now)
        self.draining = False
        self.limiter_registry = LimiterRegistry(context)
        self.endpoint_registry = EndpointRegistry(context)
        self.latency_estimates = LatencyEstimates(context)
        self.retry_budget = RetryBudget()
        self.peer_process = PeerProcess(context)
        self.admission = AdmissionController(context, self.endpoint_registry, now)
        sampling_ratio = min(1.0, FULL_SERVICE_GATEWAYS / settings.gateway_count)
        self.counter_health = CounterHealth(context, settings.counter_timeout, sampling_ratio, now)
        self.quota_synchronizer = QuotaSynchronizer(context, self.counter_health)
        self.fine_grained = FineGrainedQuota(context, self.counter_health, initial_grant_ratios(settings))
        self.slow_start = SlowStart(context, self.endpoint_registry)
        self.balancer = LoadBalancer(context, self.endpoint_registry, self.slow_start, self.latency_estimates)
        self.forwarder = Forwarder(
            context,
            self.admission,
            self.balancer,
            self.latency_estimates,
            self.retry_budget,
            self.fine_grained,
            self.peer_process,
        )
        self.request_queue = RequestQueue(context, self.admission, self.fine_grained, self.forwarder)
        self.attempt_results = AttemptResults(
            context, self.admission, self.latency_estimates, self.forwarder, self.request_queue
        )
        self.request_lifecycle = RequestLifecycle(
            context,
            self.limiter_registry,
            self.quota_synchronizer,
            self.admission,
            self.latency_estimates,
            self.request_queue,
        )

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """The endpoints in the endpoint list, by id."""
        return self.endpoint_registry.endpoints

    @property
    def settings(self) -> Settings:
        """The engine's settings."""
        return self.context.settings

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Process an event and return the resulting actions, in order.

        `now` is in seconds; the engine's time does not go back if it is lower than for an earlier event.
        """
        self.context.now = max(self.context.now, now)
        self.context.actions = []
        match event:
            case events.RequestReceived():
                self.request_lifecycle.request_received(event)
            case events.AttemptEnded():
                self.attempt_results.attempt_ended(event)
            case events.TimerFired(timer):
                self._handle_timer(timer)
            case events.CounterReply():
                self._handle_counter_reply(event)
            case events.EndpointListUpdate():
                self.endpoint_registry.apply_update(event)
            case charges.UnitsCharged():
                self._apply_peer_charge(event)
            case events.PeerProcessChanged(connected):
                self.peer_process.connected = connected
            case events.SetMaintenance():
                self.endpoint_registry.set_maintenance(event)
            case events.SetDraining(enabled):
                self.draining = enabled
                self.context.emit(actions.DrainClientConnections(enabled))
            case events.StateSnapshot(state):
                self._restore(state)
            case events.HealthCheckResult():
                pass  # endpoint health is judged by the responses to requests
            case _:
                self._handle_request_event(event)
        return self.context.actions

    def _handle_request_event(self, event: events.RequestEvent) -> None:
        request = self.forwarder.requests.get(event.request_id)
        if request is None:
            return
        match event:
            case events.ClientDisconnected():
                self.request_lifecycle.client_disconnected(request)
            case events.ClientHalfClosed():
                self.request_lifecycle.client_half_closed(request)
            case events.ResponseStarted():
                self.attempt_results.response_started(request, event)
            case events.ResponseStreamStarted():
                self.attempt_results.stream_started(request, event)
            case events.RequestBodyConsumed():
                request.not_resendable = True
            case events.RequestBodyReceived(deadline=deadline):
                self.request_lifecycle.body_received(request, deadline)

    def _handle_timer(self, timer: timers.Timer) -> None:
        match timer:
            case timers.PollEndpointsTimer():
                self.context.emit(actions.PollEndpoints())
            case timers.LateAttemptTimer(request_id, attempt_index):
                if (request := self.forwarder.requests.get(request_id)) is not None:
                    self.attempt_results.attempt_late(request, attempt_index)
            case timers.QueueTimeoutTimer(request_id):
                if (request := self.forwarder.requests.get(request_id)) is not None:
                    self.request_queue.handle_timeout(request)
            case _:
                if (limiter := self.limiter_registry.limiters.get(timer.customer)) is not None:
                    self._handle_limiter_timer(limiter, timer)

    def _handle_limiter_timer(self, limiter: Limiter, timer: timers.LimiterTimer) -> None:
        match timer:
            case timers.ReleaseQueueTimer():
                limiter.release_timer_at = 0.0
                self.request_queue.release(limiter)
            case timers.ReportDemandTimer():
                limiter.report_scheduled = False
                if limiter.is_fine_grained:
                    self.fine_grained.report_pending_units(limiter)
                else:
                    self.quota_synchronizer.report_demand(limiter)
                    self.request_queue.release(limiter)
            case timers.ReadDemandTimer(period=period):
                self.quota_synchronizer.request_demand(limiter, period)

    def _handle_counter_reply(self, reply: events.CounterReply) -> None:
        self.counter_health.record_reply(reply)
        limiter = self.limiter_registry.limiters.get(reply.name.rpartition(".")[0])
        if limiter is None:
            return
        if limiter.is_fine_grained:
            changed = self.fine_grained.apply_reply(limiter, reply)
        else:
            is_expected = reply.outcome is Outcome.SUCCESS and reply.name == limiter.pending_reading_name
            changed = is_expected and self.quota_synchronizer.apply_reading(limiter, reply.total)
        if changed:
            self.request_queue.release(limiter)

    def _apply_peer_charge(self, event: charges.UnitsCharged) -> None:
        plan = self.context.plans.get(event.plan)
        if plan is not None:
            self.peer_process.charge(
                self.limiter_registry.get_or_create(event.customer, event.quota_spread, plan), event.units
            )

    def _restore(self, state: dict[str, object]) -> None:
        saved = load_state(state)
        restore_state(self, saved)
        self.draining = saved.draining
        if self.draining:
            self.context.emit(actions.DrainClientConnections(True))

    def snapshot(self, now: float) -> events.StateSnapshot:
        """Return the state to restore in the next process of this gateway; `now` is in seconds."""
        return save_state(self, max(now, self.context.now))

    def knows_endpoint(self, endpoint_id: str) -> bool:
        """Return whether the endpoint is listed or under maintenance."""
        return (
            endpoint_id in self.endpoint_registry.endpoints
            or endpoint_id in self.endpoint_registry.under_maintenance
        )

    def count_unavailable_endpoints(self) -> int:
        """Return how many listed endpoints get no requests due to status, maintenance, ejection or subset."""
        available_count = sum(
            1 for endpoint in self.endpoint_registry.candidates if not self._is_ejected(endpoint)
        )
        return len(self.endpoint_registry.endpoints) - available_count

    def _is_ejected(self, endpoint: EndpointState) -> bool:
        decay_score(endpoint, self.context.now)
        return is_outlier(endpoint) and self.context.now - endpoint.last_used_at >= RECENT_USE_WINDOW

    def is_accepting_clients(self) -> bool:
        """Return whether a load balancer may send clients to this gateway."""
        return bool(self.endpoint_registry.serving_endpoints) and not self.draining
