"""The policy engine: connects the decisions, routes events to them, and saves their state."""
