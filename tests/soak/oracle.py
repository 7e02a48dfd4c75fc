"""The oracle of a run: reads the event logs of all processes and reports violated invariants."""

from __future__ import annotations

import pathlib
from collections import defaultdict
from dataclasses import dataclass, field

from tests.soak.event_log import LoggedEvent, read_events, read_gateway_log
from tests.soak.plan import RunSize

RESPONSE_SLACK = 0.5  # seconds after the client's deadline in which a response still counts as in time
ATTEMPT_SLACK = 0.1  # seconds after a client closed its connection in which an attempt may start
DEADLINE_SLACK = 0.15  # seconds by which an attempt's budget may exceed the time left to its client
DRAIN_TIME = 2.0  # seconds from the report that a backend drains to the last attempt sent to it
MAX_AGENT_OUTAGE = 3.0  # seconds for which an agent may fail: at most 2.5, plus a margin
MAX_PROPAGATION_TIME = 6.0  # seconds until a gateway must know a change in discovery, whatever fails
MAINTENANCE_SLACK = 0.3  # seconds from an operator's command to the last attempt sent to the backend
RESTART_TIME = 1.5  # seconds after a kill until the clients of an inherited socket are accepted again
RUN_ONCE_CLASS = "extract"  # the request class whose requests must not be executed twice


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant with the events of the request or process concerned."""

    invariant: str
    subject: str
    detail: str
    events: list[LoggedEvent]


@dataclass
class History:
    """The events of a run, ordered by time."""

    events: list[LoggedEvent]
    by_call: dict[str, list[LoggedEvent]] = field(default_factory=lambda: defaultdict(list))
    # The standard error of each gateway process, without the request log.
    errors: dict[str, str] = field(default_factory=dict)

    def named(self, name: str) -> list[LoggedEvent]:
        """Return the events with this name."""
        return [event for event in self.events if event.name == name]


def read_history(folder: pathlib.Path) -> History:
    """Read the event logs of all processes and the standard error of all gateways."""
    events: list[LoggedEvent] = []
    errors: dict[str, str] = {}
    for path in folder.glob("*.jsonl"):
        events += read_events(path)
    for path in folder.glob("gateway-*.err"):
        events += read_gateway_log(path)
        lines = path.read_text(errors="replace").splitlines()
        errors[path.stem] = "\n".join(
            line for line in lines if not line.startswith("quota_gateway.requests:")
        )
    events.sort(key=lambda event: event.at)
    history = History(events, errors=errors)
    for event in events:
        if "call" in event.fields:
            history.by_call[event.fields["call"]].append(event)
    return history


class Oracle:
    """Checks the invariants over the history of one run."""

    def __init__(self, history: History, size: RunSize, machine_slack: float) -> None:
        """Initialize the oracle; `machine_slack` is how many seconds a busy machine may delay any process."""
        self.history = history
        self.size = size
        self.machine_slack = machine_slack
        self.violations: list[Violation] = []

    def report(self, invariant: str, subject: str, detail: str, events: list[LoggedEvent]) -> None:
        """Record a violation."""
        self.violations.append(Violation(invariant, subject, detail, events))

    def check(self) -> list[Violation]:
        """Check all invariants and return the violations."""
        for call, events in self.history.by_call.items():
            sent = next((event for event in events if event.name == "request_sent"), None)
            if sent is None:
                self.report("no request that no client sent", call, "no client sent it", events)
                continue
            self.check_response(call, sent, events)
            self.check_attempts(call, sent, events)
            self.check_executions(call, sent, events)
        self.check_drains()
        self.check_maintenance()
        self.check_processes()
        return self.violations

    def check_response(self, call: str, sent: LoggedEvent, events: list[LoggedEvent]) -> None:
        """Check that a request is answered in time, unless its client closes or the gateway is killed."""
        event_by_name = {event.name: event for event in events}
        response = event_by_name.get("response_received")
        deadline = sent.at + sent.fields["budget"] + RESPONSE_SLACK + self.machine_slack
        if response is not None:
            if not response.fields["matches_request"]:
                self.report(
                    "answers belong to their requests", call, "the body does not match the request", events
                )
            if response.at > deadline and not self.was_killed(sent, deadline):
                self.report("answers come in time", call, f"{response.at - deadline:.3f} s late", events)
            return
        if "client_closed" in event_by_name or self.was_killed(sent, deadline):
            return
        connection_closed = event_by_name.get("connection_closed")
        if connection_closed is None:
            if "response_timeout" in event_by_name:
                self.report("every request is answered", call, "no answer", events)
            return
        was_received = any(event.name == "received" for event in events)
        # A gateway that cannot complete a response closes the connection, so that the client notices.
        # Requests pipelined after it cannot be answered then (an open question, see docs/findings/open.md).
        if self.was_cut_off(connection_closed):
            return
        if was_received or (sent.fields["first_on_connection"] and not self.was_terminating(sent)):
            self.report("every request is answered", call, "closed without an answer", events)

    def was_cut_off(self, connection_closed: LoggedEvent) -> bool:
        """Return whether the connection closed after an incomplete response to this or an earlier request."""
        previous_call = connection_closed.fields.get("pipelined_after")
        events = self.history.by_call.get(previous_call, []) if previous_call else [connection_closed]
        return any(
            event.name == "connection_closed" and event.fields.get("partial_response", False)
            for event in events
        )

    def was_killed(self, sent: LoggedEvent, until: float) -> bool:
        """Return whether a process of the request's gateway was killed between its sending and `until`.

        A kill up to RESTART_TIME before the request counts too, as no process may accept it yet.
        """
        prefix = f"gateway-{sent.fields['gateway']}-"
        return any(
            event.fields["process"].startswith(prefix) and sent.at - RESTART_TIME <= event.at <= until
            for event in self.history.named("signal_sent")
            if event.fields["signal_name"] == "SIGKILL"
        )

    def was_terminating(self, sent: LoggedEvent) -> bool:
        """Return whether the gateway was terminating and closed the accept queue of a socket of its own.

        Gateways with an even index inherit their listening socket, whose queue outlives the process.
        """
        gateway = sent.fields["gateway"]
        if gateway % 2 == 0:
            return False
        prefix = f"gateway-{gateway}-"
        return any(
            event.fields["process"].startswith(prefix) and event.at <= sent.at <= event.at + 4.0
            for event in self.history.named("signal_sent")
            if event.fields["signal_name"] == "SIGTERM"
        )

    def check_attempts(self, call: str, sent: LoggedEvent, events: list[LoggedEvent]) -> None:
        """Check that no attempt starts after its client closed, or has a larger budget than its client."""
        client_closed = next((event for event in events if event.name == "client_closed"), None)
        client_deadline = sent.at + sent.fields["budget"]
        attempt_starts = [event for event in events if event.name == "started"]
        for event in attempt_starts:
            if client_closed is not None and event.at > client_closed.at + ATTEMPT_SLACK + self.machine_slack:
                delay = event.at - client_closed.at
                self.report("no attempt begins after its client left", call, f"{delay:.3f} s", events)
        for event in events:
            if event.name != "request_executed" or not attempt_starts:
                continue
            # The attempt was sent after it was logged as started, when the client had the most time left.
            started_at = max(start.at for start in attempt_starts if start.at <= event.at)
            excess = event.fields["budget"] - (client_deadline - started_at)
            if excess > DEADLINE_SLACK + self.machine_slack:
                self.report("endpoints are told no more than is left", call, f"{excess:.3f} s more", events)

    def check_executions(self, call: str, sent: LoggedEvent, events: list[LoggedEvent]) -> None:
        """Check that a request that must not be repeated is executed at most once."""
        executions = [event for event in events if event.name == "request_executed"]
        if sent.fields["request_class"] == RUN_ONCE_CLASS and len(executions) > 1:
            self.report("a request runs once", call, f"{len(executions)} times", events)

    def check_drains(self) -> None:
        """Check that no attempt is sent to a draining backend after the grace time."""
        for drain in self.history.named("drain_started"):
            backend = drain.fields["backend"]
            drain_ended_at = min(
                (
                    event.at
                    for event in self.history.named("drain_ended")
                    if event.fields["backend"] == backend and event.at > drain.at
                ),
                default=float("inf"),
            )
            for start in self.process_starts():
                grace_end = self.drain_grace_end(drain, start)
                self.check_no_attempts(
                    "nothing is sent to a backend that drains",
                    start.fields["process"],
                    backend,
                    grace_end,
                    drain_ended_at,
                )

    def process_starts(self) -> list[LoggedEvent]:
        """Return the start events of all gateway processes.

        The request log has events of this name for attempts; those carry no process.
        """
        return [event for event in self.history.named("started") if "process" in event.fields]

    def drain_grace_end(self, drain: LoggedEvent, start: LoggedEvent) -> float:
        """Return the time from which a process must not send attempts to a draining backend.

        The grace time starts with the first report by the agent after the drain and after the start of the
        process. If there was no report, or if the agent changed its mode around that time, the limit is the
        latest time at which the process must know the change whatever fails.
        """
        gateway = start.fields["gateway"]
        known_from = max(drain.at, start.at)
        upper_bound = known_from + MAX_AGENT_OUTAGE + MAX_PROPAGATION_TIME + DRAIN_TIME + self.machine_slack
        report_times = [
            event.at
            for event in self.history.named("endpoint_reported")
            if event.fields["gateway"] == gateway
            and event.fields["backend"] == drain.fields["backend"]
            and event.at >= known_from
        ]
        if not report_times:
            return upper_bound
        grace_end = report_times[0] + DRAIN_TIME + self.machine_slack
        agent_changed_mode = any(
            event.fields["gateway"] == gateway and known_from - MAX_AGENT_OUTAGE <= event.at <= grace_end
            for event in self.history.named("agent_mode_changed")
        )
        return upper_bound if agent_changed_mode else min(grace_end, upper_bound)

    def check_no_attempts(
        self, invariant: str, process_prefix: str, backend: str, start: float, end: float
    ) -> None:
        """Report attempts to a backend between `start` and `end` by processes with this name prefix."""
        for event in self.history.named("started"):
            is_attempt = event.source.startswith(process_prefix) and event.fields.get("endpoint") == backend
            if is_attempt and start < event.at < end:
                call = event.fields["call"]
                detail = f"{event.source} to {backend}, {event.at - start:.3f} s late"
                self.report(invariant, call, detail, self.history.by_call[call])

    def check_maintenance(self) -> None:
        """Check that a gateway sends no attempt to a backend that an operator took out of service there."""
        maintenance_ends = self.history.named("maintenance_ended")
        for maintenance in self.history.named("maintenance_started"):
            gateway, backend = maintenance.fields["gateway"], maintenance.fields["backend"]
            ended_at = min(
                (
                    event.at
                    for event in maintenance_ends
                    if event.fields == maintenance.fields and event.at > maintenance.at
                ),
                default=float("inf"),
            )
            self.check_no_attempts(
                "nothing is sent to a backend in maintenance",
                f"gateway-{gateway}-",
                backend,
                maintenance.at + MAINTENANCE_SLACK + self.machine_slack,
                ended_at,
            )

    def check_processes(self) -> None:
        """Check that processes start and end in time, and that gateways log no errors of their own."""
        for event in self.history.events:
            if event.name in ("start_failed", "ready_timeout", "shutdown_timeout", "client_failed"):
                self.report("processes start and end in time", str(event.fields), event.name, [event])
            if event.name == "memory_exceeded":
                self.report(
                    "memory stays within its limit", event.fields["process"], str(event.fields), [event]
                )
            if event.name == "ended" and event.fields.get("process") and event.fields["code"] != 0:
                self.report("processes end well", event.fields["process"], str(event.fields), [event])
            if event.name == "bad_request_not_closed" and not self.was_signalled(event):
                self.report("bad requests end in 3 s", str(event.fields), event.name, [event])
            if event.name == "bad_request_served":
                self.report("bad requests are not served", str(event.fields), event.name, [event])
        for process, text in self.history.errors.items():
            for line in text.splitlines():
                if (
                    "Traceback" in line
                    or "invariant" in line
                    or "Error" in line
                    or "failed to handle" in line
                ):
                    self.report("no error is logged", process, text[-3000:], [])
                    break

    def was_signalled(self, event: LoggedEvent) -> bool:
        """Return whether a process of the gateway was paused or ended by a signal in the 5 s before."""
        prefix = f"gateway-{event.fields['gateway']}-"
        return any(
            other.fields["process"].startswith(prefix) and event.at - 5.0 <= other.at <= event.at
            for other in self.history.named("signal_sent")
        )
