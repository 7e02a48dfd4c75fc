"""A fleet in virtual time: instances of the module, backends with cores and queues, cold and dead ones.

`python -m tests.fleet --starts 2000` prints, for each size of fleet, in how many starts a cold backend was
sent more than is put down to chance, and which part of what the settings allow was used.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections import deque
from dataclasses import dataclass, field, replace
from multiprocessing import Pool
from typing import Any

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.model.actions import FailRequest, Reject, SetTimer, StartAttempt
from quota_gateway.model.endpoints import Endpoint, EndpointListKind, EndpointStatus
from quota_gateway.model.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    RequestReceived,
    SetMaintenance,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.settings import Idempotency, IdempotencyScope, Plan, RequestClass, Settings
from quota_gateway.model.timers import Timer
from tests.policy_harness import SETTINGS

TRANSIT = 0.001  # seconds between a gateway and a backend
DIAL = 0.25  # seconds until a dial to a dead machine is given up
SETTLED = 6.0  # seconds of a run before anything starts cold: the gateways have learned by then
COLD_FOR = 10.0  # seconds of a run after that
WORK = 0.1  # seconds of one core that the mean request takes
CORES = 2
QUEUE = 24  # requests that wait at a backend at most
OPEN_PLAN = Plan("open", 0.0, 0.0, 0, 0.0, 0.0, 1.0, 0.0, 1.0)
LOADS = ("calm", "pressed", "half dead", "half dead and pressed")
LOADS_DEAD = dict(zip(LOADS, (0.0, 0.0, 0.5, 0.5), strict=True))
LOADS_USE = dict(zip(LOADS, (0.6, 1.0, 0.35, 0.55), strict=True))  # of the capacity of all, dead ones too
READ = RequestClass("read", Idempotency.IDEMPOTENT, IdempotencyScope.ALL, 5.0, 0.75, 2.5, 0.0, 1.0, False)


@dataclass(frozen=True)
class Case:
    """One run: `gateways` before `backends`, of which `cold` start anew and `dead` vanish at one moment."""

    gateways: int
    backends: int
    cold: int
    dead: int
    use: float = 0.6  # of the capacity of all backends
    skew: float = 0.8  # sigma of the gateways' rates, which are lognormal: some see several times the mean
    multiple: float = 4.0
    load: str = ""
    put_back: bool = False  # by an operator at each gateway, in place of a start that the list tells
    seed: int = 0


@dataclass
class Machine:
    """A backend: its cores, its queue, and what was sent to it while it was cold."""

    name: str
    started: float | None = None
    dead: bool = False
    busy: int = 0
    queue: deque[tuple[int, int, int]] = field(default_factory=deque)
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)  # time, and what was allowed by then
    allowed: float = 0.0  # requests, summed up since its start
    allowed_at: float = 0.0
    sent: int = 0
    worst: float = -1e9  # requests above what chance explains, in the worst window


class World:
    """Plays one case."""

    def __init__(self, case: Case) -> None:
        self.case, self.random = case, random.Random(case.seed)
        self.settings: Settings = replace(
            SETTINGS,
            gateway_count=case.gateways,
            request_classes=(READ,),
            plans=(OPEN_PLAN,),
            counter_enabled=False,
            slow_start_minimum=0.16,
            slow_start_window=15.0,
            slow_start_overload_ratio=case.multiple,
            overload_duration=1.5,
            max_attempts=4,
        )
        self.now, self.number, self.order = 0.0, 0, 0
        self.events: list[tuple[float, int, str, Any]] = []
        self.machines = {f"s{n:03d}": Machine(f"s{n:03d}") for n in range(case.backends)}
        listed = EndpointListUpdate(
            EndpointListKind.FULL, tuple(self.entry(m) for m in self.machines.values())
        )
        self.gateways = [self.gateway(me, listed) for me in range(case.gateways)]
        self.open: set[tuple[int, int, int]] = set()
        self.attempts: dict[tuple[int, int], int] = {}
        self.served = self.asked = 0
        rates = [self.random.lognormvariate(0.0, case.skew) for _ in self.gateways]
        scale = case.use * case.backends * CORES / WORK / sum(rates)
        self.rates = [rate * scale for rate in rates]

    def gateway(self, me: int, listed: EndpointListUpdate) -> PolicyEngine:
        made = PolicyEngine(replace(self.settings, gateway_index=me), 1000 * self.case.seed + me, 0.0)
        made.handle(listed, 0.0)
        return made

    def entry(self, machine: Machine, status: EndpointStatus = EndpointStatus.SERVING) -> Endpoint:
        zone = "abc"[int(machine.name[1:]) % 3]
        return Endpoint(machine.name, zone, "k", 0, status, 1.0, machine.started)

    def at(self, when: float, what: str, data: Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (when, self.order, what, data))

    def run(self) -> World:
        for me, rate in enumerate(self.rates):
            self.at(self.random.expovariate(rate), "arrive", me)
        self.at(SETTLED, "trouble", None)
        while self.events and self.events[0][0] < SETTLED + COLD_FOR:
            self.now, _, what, data = heapq.heappop(self.events)
            getattr(self, what)(data)
        return self

    def tell(self, me: int, event: Event) -> None:
        for action in self.gateways[me].handle(event, self.now):
            if isinstance(action, SetTimer):
                self.at(self.now + action.delay, "timer", (me, action.timer))
            elif isinstance(action, StartAttempt):
                place = self.attempts.get((me, action.request_id), 0)
                self.attempts[me, action.request_id] = place + 1
                attempt = (me, action.request_id, place)
                self.open.add(attempt)
                self.at(self.now + action.timeout, "give_up", (attempt, action.endpoint_id, self.now))
                self.at(self.now + TRANSIT, "come", (attempt, action.endpoint_id, self.now))
            elif isinstance(action, Reject | FailRequest):
                self.attempts.pop((me, action.request_id), None)

    def arrive(self, me: int) -> None:
        self.number += 1
        self.asked += self.now > SETTLED
        self.at(self.now + self.random.expovariate(self.rates[me]), "arrive", me)
        self.tell(
            me, RequestReceived(self.number, "read", "open", "c", self.now + 2.4, 1.0, 1, 0, False, 2.5)
        )

    def timer(self, data: tuple[int, Timer]) -> None:
        self.tell(data[0], TimerFired(data[1]))

    def come(self, data: tuple[tuple[int, int, int], str, float]) -> None:
        attempt, name, since = data
        machine = self.machines[name]
        if machine.dead:
            self.at(self.now + DIAL, "end", (attempt, name, since, Outcome.CONNECT_FAILED))
            return
        self.count(machine)
        if machine.busy < CORES:
            self.work(machine, data)
        elif len(machine.queue) < QUEUE:
            machine.queue.append(data)  # type: ignore[arg-type]
        else:
            self.at(self.now + TRANSIT, "end", (attempt, name, since, Outcome.REJECTED))

    def share(self, machine: Machine, now: float) -> float:
        """The part of its capacity that the settings say it has at least."""
        if machine.started is None or now - machine.started >= self.settings.slow_start_window:
            return 1.0
        grown = (now - machine.started) / self.settings.slow_start_window
        return self.settings.slow_start_minimum + (1.0 - self.settings.slow_start_minimum) * grown

    def count(self, machine: Machine) -> None:
        """What comes to a cold one against N + 2 root N + 2 over each window of the settings' length."""
        if machine.started is None:
            return
        middle = (machine.allowed_at + self.now) / 2
        rate = self.case.multiple * self.share(machine, middle) * CORES / WORK
        machine.allowed += rate * (self.now - machine.allowed_at)
        machine.allowed_at = self.now
        machine.sent += 1
        machine.arrivals.append((self.now, machine.allowed))
        while machine.arrivals[0][0] < self.now - self.settings.overload_duration:
            machine.arrivals.popleft()
        window = self.settings.overload_duration
        least = self.case.multiple * self.share(machine, max(machine.started, self.now - window))
        allowed = least * CORES / WORK * window  # as it was at the window's start: no more than it has now
        over = len(machine.arrivals) - (allowed + 2.0 * allowed**0.5 + 2.0)
        machine.worst = max(machine.worst, over)

    def work(self, machine: Machine, data: Any) -> None:
        machine.busy += 1
        takes = self.random.lognormvariate(-0.32, 0.8) * WORK / self.share(machine, self.now)
        self.at(self.now + takes, "done", data)

    def done(self, data: tuple[tuple[int, int, int], str, float]) -> None:
        attempt, name, since = data
        machine = self.machines[name]
        if machine.dead:
            return
        machine.busy -= 1
        while machine.queue and machine.busy < CORES:
            waiting: Any = machine.queue.popleft()
            if waiting[0] in self.open:  # what was given up is not begun
                self.work(machine, waiting)
        self.at(self.now + TRANSIT, "end", (attempt, name, since, Outcome.SUCCESS))

    def give_up(self, data: tuple[tuple[int, int, int], str, float]) -> None:
        dead = self.machines[data[1]].dead and self.now - data[2] < DIAL
        self.end((*data, Outcome.CONNECT_FAILED if dead else Outcome.TIMED_OUT))

    def end(self, data: tuple[tuple[int, int, int], str, float, Outcome]) -> None:
        attempt, name, since, outcome = data
        if attempt not in self.open:
            return
        self.open.discard(attempt)
        served = outcome is Outcome.SUCCESS
        self.served += served and since > SETTLED
        self.tell(
            attempt[0], AttemptEnded(attempt[1], attempt[2], name, outcome, self.now - since, served, 0.0, ())
        )

    def trouble(self, _: None) -> None:
        names = list(self.machines)
        self.random.shuffle(names)
        cold, dead = names[: self.case.cold], names[self.case.cold : self.case.cold + self.case.dead]
        for name in dead:
            self.machines[name].dead = True
        for name in cold:
            self.machines[name] = Machine(name, self.now, allowed_at=self.now)
        fresh = tuple(self.entry(self.machines[name]) for name in cold)
        for me in range(self.case.gateways):
            if self.case.put_back:
                for name in cold:
                    self.tell(me, SetMaintenance(name, True))
                    self.tell(me, SetMaintenance(name, False))
            else:
                self.tell(me, EndpointListUpdate(EndpointListKind.DELTA, fresh))


@dataclass(frozen=True)
class Result:
    starts: int
    over: int  # starts in which some window had more than chance explains
    used: float  # part of what the settings allow, over all
    served: float  # part of the requests asked for from the start on
    worst: float  # requests over the bound in the worst window of all, below nought if under it


def play(case: Case) -> Result:
    world = World(case).run()
    cold = [m for m in world.machines.values() if m.started is not None]
    allowed = sum(m.allowed for m in cold)
    return Result(
        len(cold),
        sum(m.worst > 0 for m in cold),
        sum(m.sent for m in cold) / max(allowed, 1e-9),
        world.served / max(world.asked, 1),
        max((m.worst for m in cold), default=0.0),
    )


def cases(gateways: int, starts: int) -> list[Case]:
    """Cases of a fleet of this size with so many starts or more: few and many cold, at four kinds of load."""
    backends = {1: 8, 3: 9}.get(gateways, 36 if gateways < 100 else 100)
    made: list[Case] = []
    while sum(case.cold for case in made) < starts:
        seed = len(made)
        cold = max(1, (backends // 12, backends // 3)[seed % 2])
        load = LOADS[seed // 2 % len(LOADS)]
        dead = int((backends - cold) * LOADS_DEAD[load])
        made.append(
            Case(
                gateways,
                backends,
                cold,
                dead,
                use=LOADS_USE[load],
                load=load,
                multiple=(4.0, 2.0)[seed // 8 % 2],
                put_back=seed % 5 == 4,
                seed=seed,
            )
        )
    return made


def main() -> None:
    parser = argparse.ArgumentParser(description="Cold starts under fleets of instances of the module.")
    parser.add_argument("--starts", type=int, default=400, help="of each size of fleet")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--gateways", type=int, nargs="*", default=[1, 3, 20, 30, 200])
    told = parser.parse_args()
    for gateways in told.gateways:
        played = cases(gateways, told.starts)
        with Pool(told.processes) as pool:
            results = pool.map(play, played, chunksize=1)
        for load in LOADS:
            for multiple in (4.0, 2.0):
                some = [
                    r
                    for c, r in zip(played, results, strict=True)
                    if c.load == load and c.multiple == multiple
                ]
                starts = sum(r.starts for r in some)
                print(
                    f"{gateways:4d} gateways, {load}, multiple {multiple:.0f}: "
                    f"{starts} starts, {sum(r.over for r in some)} over, "
                    f"used {sum(r.used * r.starts for r in some) / max(starts, 1):.3f}, "
                    f"served {sum(r.served for r in some) / max(len(some), 1):.3f}, "
                    f"worst {max((r.worst for r in some), default=0.0):+.1f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
