"""Records every decision of the policy engine in seeded sequences of random events.

The recordings under tests/recorded were made before the code was renamed and split. A change that is meant to
preserve every decision has to reproduce them. `python -m tests.recorder` overwrites them.
"""

from __future__ import annotations

import hashlib
import pathlib

from tests.random_workload import RandomWorkload

RECORDINGS = pathlib.Path(__file__).parent / "recorded"
TRANSCRIPT = RECORDINGS / "decisions.txt"  # the full transcript of one short sequence
DIGESTS = RECORDINGS / "decisions.sha256"  # a line per long sequence: its seed and its transcript's digest
SHORT_SEED = 1
SHORT_STEPS = 160
LONG_SEEDS = range(2, 22)
LONG_STEPS = 2500
FINAL_TIME = 10.0  # seconds after the last event for pending requests and timers to end


def run_sequence(seed: int, steps: int) -> list[str]:
    """Run one sequence, and return the lines of its transcript."""
    workload = RandomWorkload(seed)
    for _ in range(steps):
        workload.step()
    processes = workload.processes
    processes.run_until(processes.now + FINAL_TIME)
    return processes.lines


def digest(lines: list[str]) -> str:
    """Return the SHA-256 of a transcript in hexadecimal."""
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def main() -> None:
    """Write all recordings."""
    RECORDINGS.mkdir(exist_ok=True)
    TRANSCRIPT.write_text("\n".join(run_sequence(SHORT_SEED, SHORT_STEPS)) + "\n")
    rows = [f"{seed} {digest(run_sequence(seed, LONG_STEPS))}" for seed in LONG_SEEDS]
    DIGESTS.write_text("\n".join(rows) + "\n")


if __name__ == "__main__":
    main()
