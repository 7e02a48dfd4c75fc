"""Faults of the operating system for real gateway processes: failing calls, clocks and folders."""
