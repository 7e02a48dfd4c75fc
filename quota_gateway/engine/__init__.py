"""The policy engine: connects the mechanisms, routes events to them, and saves their state."""
