"""Hands state from an older process of a gateway to a newer one."""
