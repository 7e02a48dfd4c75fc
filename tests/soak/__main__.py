"""`python -m tests.soak --seeds A..B`: performs a run for each seed and prints the violated invariants."""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import shutil
import signal
import sys
import tempfile
import time

from tests.soak.control import RunController
from tests.soak.oracle import Oracle, Violation, read_history
from tests.soak.plan import RunSize, vary_size

MAX_EXAMPLES = 3  # the most violations printed for each invariant of a run
MAX_PROCESSES = 200  # over all roles; hot restarts double the gateways for a time


def parse_seeds(text: str) -> range:
    """Parse `A..B` or `A`; raises ValueError for anything else."""
    first, separator, last = text.partition("..")
    return range(int(first), (int(last) if separator else int(first)) + 1)


def parse_arguments(argv: list[str]) -> argparse.Namespace:
    """Parse the command line; an invalid one prints the usage and exits with status 2."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 2), help="the seeds A..B, one run each")
    parser.add_argument("--seconds", type=float, default=20.0, help="for how long the clients send requests")
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--backend-processes", type=int, default=4)
    parser.add_argument("--client-processes", type=int, default=4)
    parser.add_argument("--clients-each", type=int, default=8)
    parser.add_argument(
        "--slack", type=float, default=0.02, help="by how many seconds a busy machine may delay a process"
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="the folder to which the logs of runs with violations are copied"
    )
    arguments = parser.parse_args(argv)
    processes = 2 * arguments.gateways + arguments.backend_processes + arguments.client_processes + 2
    if not 0 < arguments.seconds <= 600 or processes > MAX_PROCESSES or arguments.gateways < 1:
        parser.error(
            f"at least 1 gateway, at most {MAX_PROCESSES} processes and at most 600 seconds are needed"
        )
    return arguments


def print_violations(seed: int, violations: list[Violation]) -> None:
    """Print each violated invariant with the events of its first violations."""
    by_invariant = collections.defaultdict(list)
    for violation in violations:
        by_invariant[violation.invariant].append(violation)
    for invariant, found in by_invariant.items():
        print(f"seed {seed}: {invariant}: {len(found)}")
        for violation in found[:MAX_EXAMPLES]:
            print(f"  {violation.subject}: {violation.detail}")
            for event in violation.events:
                print(f"    {event.at:.4f} {event.source:16} {event.name} {event.fields}")


async def run_until_signal(controller: RunController) -> None:
    """Perform a run; SIGINT and SIGTERM cancel it and stop all of its processes."""
    task = asyncio.ensure_future(controller.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    await task


def run_seed(seed: int, size: RunSize, slack: float, keep: pathlib.Path | None) -> int:
    """Perform one run, print a summary and the violations, and return their number."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    started_at = time.monotonic()
    size = vary_size(size, seed)
    asyncio.run(run_until_signal(RunController(seed, size, folder)))
    history = read_history(folder)
    violations = Oracle(history, size, slack).check()
    statuses = collections.Counter(event.fields["status"] for event in history.named("response_received"))
    faults = len(history.named("fault_started"))
    processes = len({event.source for event in history.events})
    requests = len(history.named("request_sent"))
    print(
        f"seed {seed}: {requests} requests, {dict(sorted(statuses.items()))}, {faults} faults, "
        f"{processes} processes, {time.monotonic() - started_at:.0f} s, {len(violations)} violations",
        flush=True,
    )
    print_violations(seed, violations)
    if violations and keep is not None:
        shutil.copytree(folder, keep / folder.name, ignore=shutil.ignore_patterns("shared-*"))
    shutil.rmtree(folder)
    return len(violations)


def main() -> int:
    """Perform all runs; return 1 if an invariant was violated, 2 after a signal, else 0."""
    arguments = parse_arguments(sys.argv[1:])
    size = RunSize(
        gateways=arguments.gateways,
        backend_processes=arguments.backend_processes,
        backends_each=2,
        client_processes=arguments.client_processes,
        clients_each=arguments.clients_each,
        seconds=arguments.seconds,
        shutdown_slack=arguments.slack,
    )
    try:
        violations = sum(run_seed(seed, size, arguments.slack, arguments.keep) for seed in arguments.seeds)
    except asyncio.CancelledError:
        print("ended by a signal")
        return 2
    print(f"{len(arguments.seeds)} runs, {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
