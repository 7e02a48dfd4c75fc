"""The listening socket of the clients' side, and the connections that it accepted."""

from __future__ import annotations

from quota_gateway.downstream.client_connection import ClientListener

__all__ = ["ClientListener"]
