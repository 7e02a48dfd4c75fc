"""Injection of operating system faults into real gateway processes: failing calls, clocks and folders."""
