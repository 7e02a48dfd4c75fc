"""Events: what the decisions are told. All times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from quota_gateway.model.charges import Charged
from quota_gateway.model.endpoints import Backend, ListKind
from quota_gateway.model.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try that has arrived; the gateway owes it one final answer."""

    id: int
    klass: str
    plan: str
    customer: str
    deadline: float
    units: float
    width: int
    first_gateway: int
    repeat: bool
    patience: float = 0.0  # seconds that the client waits from its send on; 0: until the deadline
    uploading: bool = False  # its long body is still coming: its time counts from the last byte, told later


@dataclass(frozen=True, slots=True)
class BackendList:
    kind: ListKind
    backends: tuple[Backend, ...]


@dataclass(frozen=True, slots=True)
class ClientLeft:
    request: int


@dataclass(frozen=True, slots=True)
class Unwanted:
    """The client sends no more and has most likely gone: what is out may end, nothing more is sent on."""

    request: int


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """An attempt's answer is being passed on: no other can serve the request, and it has no deadline more."""

    request: int
    attempt: int
    elapsed: float = 0.0  # seconds to its first byte; 0: until now


@dataclass(frozen=True, slots=True)
class BodySpent:
    """Part of a request's long body has gone to a backend and is not kept: it can't be sent again."""

    request: int


@dataclass(frozen=True, slots=True)
class Uploaded:
    """The last byte of a long body has come."""

    request: int
    deadline: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    backend: str
    outcome: Outcome
    elapsed: float
    over: bool
    true_units: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Counted:
    name: str
    outcome: Outcome
    elapsed: float
    total: float


@dataclass(frozen=True, slots=True)
class Probed:
    backend: str
    outcome: Outcome
    elapsed: float
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    key: str


@dataclass(frozen=True, slots=True)
class Maintain:
    """An operator's word: nothing more to this backend, or use it again. It stands until the other comes."""

    backend: str
    out: bool


@dataclass(frozen=True, slots=True)
class Drain:
    """An operator's word: no more clients here, or take them again."""

    on: bool


@dataclass(frozen=True, slots=True)
class Estate:
    """What an older process of this gateway knows, in plain values, as it gives it to the newer one."""

    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Paired:
    """Another process of this gateway runs beside this one, or no longer does."""

    on: bool


Event = (
    Request
    | BackendList
    | ClientLeft
    | Unwanted
    | StreamBegun
    | AttemptEnded
    | Counted
    | Probed
    | TimerDue
    | Maintain
    | Drain
    | Estate
    | Paired
    | Charged
    | BodySpent
    | Uploaded
)
