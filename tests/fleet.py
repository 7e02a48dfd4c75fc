"""Slow starts under fleets of gateways of several sizes, at four kinds of load.

`python -m tests.fleet --starts 2000` prints, for each size of fleet, in how many starts a backend in slow
start was sent more than chance explains, and which part of what the settings allow was used.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing import Pool

from tests.fleet_simulation import Case, FleetSimulation, Load

FLEET_SIZES = [1, 3, 20, 30, 200]  # gateways
SMALL_FLEET_BACKENDS = {1: 8, 3: 9}  # by gateways
MEDIUM_FLEET_BACKENDS = 36
LARGE_FLEET_BACKENDS = 100
LARGE_FLEET = 100  # gateways from which a fleet counts as large
OVERLOAD_RATIOS = (4.0, 2.0)  # values of the setting slow_start_overload_ratio


@dataclass(frozen=True, slots=True)
class Result:
    """What one run showed of the backends in slow start."""

    starts: int
    exceeded_starts: int  # starts in which some window had more requests than chance explains
    used_fraction: float  # part of what the settings allow, over all of them
    served: float  # part of the requests since the start
    max_excess: float  # requests above the bound in the worst window of all, negative if below it


def play(case: Case) -> Result:
    """Run one case."""
    simulation = FleetSimulation(case).run()
    restarted = [backend for backend in simulation.backends.values() if backend.started is not None]
    allowed = sum(backend.allowed for backend in restarted)
    return Result(
        starts=len(restarted),
        exceeded_starts=sum(backend.max_excess > 0 for backend in restarted),
        used_fraction=sum(backend.arrivals for backend in restarted) / max(allowed, 1e-9),
        served=simulation.served / max(simulation.requests, 1),
        max_excess=max((backend.max_excess for backend in restarted), default=0.0),
    )


def backend_count(gateways: int) -> int:
    """Return how many backends a fleet of this size has."""
    if gateways >= LARGE_FLEET:
        return LARGE_FLEET_BACKENDS
    return SMALL_FLEET_BACKENDS.get(gateways, MEDIUM_FLEET_BACKENDS)


def cases(gateways: int, starts: int) -> list[Case]:
    """Return cases of a fleet of this size with at least so many starts, few or many at a time."""
    backends = backend_count(gateways)
    loads: list[Load] = list(Load)
    made: list[Case] = []
    while sum(case.restarted for case in made) < starts:
        seed = len(made)
        case = Case(
            gateways=gateways,
            backends=backends,
            restarted=max(1, (backends // 12, backends // 3)[seed % 2]),
            load=loads[seed // 2 % len(loads)],
            multiple=OVERLOAD_RATIOS[seed // 8 % 2],
            restarted_by_operator=seed % 5 == 4,
            seed=seed,
        )
        made.append(case)
    return made


def print_summary(gateways: int, load: Load, multiple: float, results: Sequence[Result]) -> None:
    """Print one line on all runs of a fleet of this size at this load."""
    starts = sum(result.starts for result in results)
    over = sum(result.exceeded_starts for result in results)
    used = sum(result.used_fraction * result.starts for result in results) / max(starts, 1)
    served = sum(result.served for result in results) / max(len(results), 1)
    worst = max((result.max_excess for result in results), default=0.0)
    print(
        f"{gateways:4d} gateways, {load}, multiple {multiple:.0f}: {starts} starts, {over} over, "
        f"used {used:.3f}, served {served:.3f}, worst {worst:+.1f}",
        flush=True,
    )


def main() -> None:
    """Run all cases of each size of fleet in several processes, and print the summaries."""
    parser = argparse.ArgumentParser(description="Slow starts under fleets of gateways.")
    parser.add_argument("--starts", type=int, default=400, help="of each size of fleet")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--gateways", type=int, nargs="*", default=FLEET_SIZES)
    arguments = parser.parse_args()
    for gateways in arguments.gateways:
        fleet_cases = cases(gateways, arguments.starts)
        with Pool(arguments.processes) as pool:
            results = pool.map(play, fleet_cases, chunksize=1)
        for load in Load:
            for multiple in OVERLOAD_RATIOS:
                matching = [
                    result
                    for case, result in zip(fleet_cases, results, strict=True)
                    if case.load is load and case.multiple == multiple
                ]
                print_summary(gateways, load, multiple, matching)


if __name__ == "__main__":
    main()
