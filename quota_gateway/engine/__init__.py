"""The policy engine: connects the mechanisms, dispatches events to them, and saves their state."""
