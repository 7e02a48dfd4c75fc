"""A randomized soak of real gateway processes: faults overlap in time, and invariants are the oracle.

`python -m tests.soak --seeds 1..20` plays one run a seed. Every process writes its events with the time of
the monotonic clock; after a run the oracle reads all of them.
"""
