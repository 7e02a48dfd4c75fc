"""Connections to the upstream endpoints, and the attempts that are sent on them."""
