"""The gateway's decisions, one mechanism per module."""
