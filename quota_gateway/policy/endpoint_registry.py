"""The endpoints of the discovery list, their maintenance by operators, and this gateway's subset."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from quota_gateway.model.actions import CloseIdleConnections, PollEndpoints
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import EndpointListUpdate, SetMaintenance
from quota_gateway.model.timers import PollEndpointsTimer
from quota_gateway.policy.outlier_detection import is_outlier
from quota_gateway.policy.start_times import StartTimes
from quota_gateway.policy.subsetting import SubsetRing
from quota_gateway.policy.token_bucket import EPSILON
from quota_gateway.state.context import EngineContext
from quota_gateway.state.records import EndpointState
from quota_gateway.state.saved_state import SavedEndpoint

FLEET_INITIAL_LIMIT = 8.0  # attempts in flight at a newly listed endpoint, over all gateways together
# Ratio of the lowest limit, reached under overload, to the initial one: a lower limit would leave some of the
# endpoint's cores idle.
MINIMUM_TO_INITIAL_LIMIT = 0.5
RETRY_POLL_FRACTION = 1 / 8  # mean delay before a failed poll is repeated, as a fraction of the poll interval


@dataclass(slots=True, eq=False)
class EndpointRegistry:
    """Keeps the state of each endpoint, and which of them this gateway uses."""

    context: EngineContext
    endpoints: dict[str, EndpointState] = field(default_factory=dict)  # by endpoint id
    serving_endpoints: list[EndpointState] = field(default_factory=list)
    candidates: Sequence[EndpointState] = ()  # this gateway's subset, widened while too few are healthy
    assigned_subset: set[EndpointState] = field(default_factory=set)  # this gateway's subset, never widened
    under_maintenance: set[str] = field(default_factory=set)  # ids; set by operators, independent of the list
    ring: SubsetRing = field(default_factory=lambda: SubsetRing((), 0, 1))
    # End of the last maintenance, by endpoint id.
    maintenance_ended_at: dict[str, float] = field(default_factory=dict)
    start_times: StartTimes = field(default_factory=StartTimes)

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Apply an update; after a failed poll, keep the current list and schedule another poll."""
        context = self.context
        if update.kind is EndpointListKind.FAILED:
            delay = context.settings.poll_interval * RETRY_POLL_FRACTION * (0.5 + context.random.random())
            context.set_timer(max(delay, EPSILON), PollEndpointsTimer())
            return
        if update.kind is not EndpointListKind.DELTA:
            listed_ids = {endpoint.endpoint_id for endpoint in update.endpoints}
            self.endpoints = {key: state for key, state in self.endpoints.items() if key in listed_ids}
        for endpoint in update.endpoints:
            self._apply_endpoint(endpoint)
        self.refresh_serving()
        if update.kind is not EndpointListKind.CACHED:
            self.start_times.list_received(context.now)
        elif not context.settings.push_discovery_enabled:
            context.emit(PollEndpoints())

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        state = self.endpoints.get(endpoint.endpoint_id)
        if endpoint.status is EndpointStatus.REMOVED:
            self.endpoints.pop(endpoint.endpoint_id, None)
        elif state is None or state.started_at != self._started_at(endpoint):
            self._add(endpoint)
        else:
            state.endpoint = endpoint

    def _add(self, endpoint: Endpoint) -> None:
        limit = max(1.0, FLEET_INITIAL_LIMIT / self.context.settings.gateway_count)
        state = EndpointState(endpoint, limit, self.context.now, max(1.0, limit * MINIMUM_TO_INITIAL_LIMIT))
        state.started_at = self._started_at(endpoint)
        self.endpoints[endpoint.endpoint_id] = state

    def _started_at(self, endpoint: Endpoint) -> float | None:
        """Return when an endpoint started or returned from maintenance, by this gateway's clock."""
        key = endpoint.endpoint_id
        started_at = self.start_times.observe(key, endpoint.started_at, self.context.now)
        maintenance_ended_at = self.maintenance_ended_at.get(key)
        if maintenance_ended_at is None or (started_at is not None and started_at > maintenance_ended_at):
            return started_at
        return maintenance_ended_at

    def set_maintenance(self, event: SetMaintenance) -> None:
        """Start or end maintenance, which no list update ends; an endpoint warms up again after it."""
        key = event.endpoint_id
        if event.enabled:
            self.under_maintenance.add(key)
            self.context.emit(CloseIdleConnections(key))
        elif key in self.under_maintenance:
            self.under_maintenance.discard(key)
            self.maintenance_ended_at[key] = self.context.now
            if key in self.endpoints:
                self._add(self.endpoints[key].endpoint)
        self.refresh_serving()

    def merge_maintenance_ends(self, maintenance_ended_at: dict[str, float]) -> None:
        """Merge the ends of maintenance that another process knows; the later of two counts."""
        for key, time in maintenance_ended_at.items():
            self.maintenance_ended_at[key] = max(time, self.maintenance_ended_at.get(key, time))

    def restore(self, saved: SavedEndpoint) -> None:
        """Restore what the previous process learned about an endpoint since its start."""
        state = self.endpoints.get(saved.endpoint_id)
        if state is None:
            return
        state.started_at = self._started_at(state.endpoint)  # the list does not tell when maintenance ended
        if saved.started_at == self.start_identifier(state):
            state.concurrency_limit = saved.concurrency_limit
            state.failure_score = saved.failure_score
            state.decayed_at = saved.decayed_at

    def start_identifier(self, state: EndpointState) -> float | None:
        """Return the start that identifies an endpoint in the saved state.

        It is the end of its maintenance or, without one, the start as listed.
        """
        maintenance_ended_at = self.maintenance_ended_at.get(state.id)
        return maintenance_ended_at if maintenance_ended_at == state.started_at else state.endpoint.started_at

    def refresh_serving(self) -> None:
        """Recompute the serving endpoints and this gateway's subset of them."""
        self.serving_endpoints = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.is_serving and endpoint.id not in self.under_maintenance
        ]
        settings = self.context.settings
        self.ring = SubsetRing(self.serving_endpoints, settings.gateway_index, settings.gateway_count)
        self.assigned_subset = set(self.ring.select(lambda endpoint: True))
        self.refresh_candidates()

    def refresh_candidates(self) -> None:
        """Recompute the subset, which is widened while too few of its endpoints are healthy."""
        self.candidates = self.ring.select(lambda endpoint: not is_outlier(endpoint))

    def is_usable(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint is serving, not under maintenance, and below its concurrency limit."""
        is_listed = self.endpoints.get(endpoint.id) is endpoint
        serving = endpoint.is_serving and endpoint.id not in self.under_maintenance
        return is_listed and serving and endpoint.in_flight < endpoint.concurrency_limit
