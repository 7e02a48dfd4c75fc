"""Connections to the upstream endpoints and the attempts sent on them."""
