"""Randomized soak test that runs real gateway processes under overlapping faults.

`python -m tests.soak --seeds 1..20` performs one run per seed. Every process logs its events with the time of
the monotonic clock. After a run, the oracle reads all logs and checks invariants over them.
"""
