"""Runs slow starts of backends under fleets of several sizes, at four loads.

`python -m tests.fleet --starts 2000` prints, for each size and load, in how many starts a backend was sent
more requests than chance explains, and which fraction of the allowed requests was used.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing import Pool

from tests.fleet_simulation import Case, FleetSimulation, Load

FLEET_SIZES = [1, 3, 20, 30, 200]  # numbers of gateways
SMALL_FLEET_BACKENDS = {1: 8, 3: 9}  # number of backends by number of gateways
MEDIUM_FLEET_BACKENDS = 36
LARGE_FLEET_BACKENDS = 100
LARGE_FLEET = 100  # minimum number of gateways of a large fleet
OVERLOAD_RATIOS = (4.0, 2.0)  # values of the setting slow_start_overload_ratio


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run for the backends that restarted."""

    starts: int  # backends that restarted
    exceeded_starts: int  # starts in which some window had more requests than chance explains
    used_fraction: float  # requests sent in all starts, as a fraction of those that the settings allow
    served_fraction: float  # fraction of the requests since FAULT_TIME that were served
    max_excess: float  # requests above the bound in the worst window of all starts; negative if below it


def run_case(case: Case) -> Result:
    """Simulate one case, and return its result."""
    simulation = FleetSimulation(case).run()
    restarted = [backend for backend in simulation.backends.values() if backend.started_at is not None]
    allowed = sum(backend.allowed for backend in restarted)
    return Result(
        starts=len(restarted),
        exceeded_starts=sum(backend.max_excess > 0 for backend in restarted),
        used_fraction=sum(backend.arrivals for backend in restarted) / max(allowed, 1e-9),
        served_fraction=simulation.served_count / max(simulation.requests, 1),
        max_excess=max((backend.max_excess for backend in restarted), default=0.0),
    )


def backend_count(gateways: int) -> int:
    """Return the number of backends of a fleet of this size."""
    if gateways >= LARGE_FLEET:
        return LARGE_FLEET_BACKENDS
    return SMALL_FLEET_BACKENDS.get(gateways, MEDIUM_FLEET_BACKENDS)


def make_cases(gateways: int, starts: int) -> list[Case]:
    """Return cases of a fleet of this size with at least `starts` starts in total, few or many per case."""
    backends = backend_count(gateways)
    loads: list[Load] = list(Load)
    generated: list[Case] = []
    while sum(case.restarted for case in generated) < starts:
        seed = len(generated)
        case = Case(
            gateways=gateways,
            backends=backends,
            restarted=max(1, (backends // 12, backends // 3)[seed % 2]),
            load=loads[seed // 2 % len(loads)],
            overload_ratio=OVERLOAD_RATIOS[seed // 8 % 2],
            restarted_by_operator=seed % 5 == 4,
            seed=seed,
        )
        generated.append(case)
    return generated


def print_summary(gateways: int, load: Load, overload_ratio: float, results: Sequence[Result]) -> None:
    """Print one line for all runs of a fleet of this size at this load and overload ratio."""
    starts = sum(result.starts for result in results)
    exceeded = sum(result.exceeded_starts for result in results)
    mean_used = sum(result.used_fraction * result.starts for result in results) / max(starts, 1)
    mean_served = sum(result.served_fraction for result in results) / max(len(results), 1)
    worst = max((result.max_excess for result in results), default=0.0)
    print(
        f"{gateways:4d} gateways, {load}, overload ratio {overload_ratio:.0f}: {starts} starts, "
        f"{exceeded} over, used {mean_used:.3f}, served {mean_served:.3f}, worst {worst:+.1f}",
        flush=True,
    )


def main() -> None:
    """Run all cases of each fleet size in several processes, and print the summaries."""
    parser = argparse.ArgumentParser(description="Simulate slow starts under fleets of gateways.")
    parser.add_argument("--starts", type=int, default=400, help="minimum number of starts per fleet size")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--gateways", type=int, nargs="*", default=FLEET_SIZES)
    arguments = parser.parse_args()
    for gateways in arguments.gateways:
        fleet_cases = make_cases(gateways, arguments.starts)
        with Pool(arguments.processes) as pool:
            results = pool.map(run_case, fleet_cases, chunksize=1)
        for load in Load:
            for overload_ratio in OVERLOAD_RATIOS:
                matching = [
                    result
                    for case, result in zip(fleet_cases, results, strict=True)
                    if case.load is load and case.overload_ratio == overload_ratio
                ]
                print_summary(gateways, load, overload_ratio, matching)


if __name__ == "__main__":
    main()
