"""Listening sockets and outgoing connections."""
