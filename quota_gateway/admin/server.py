"""The admin API's listening socket and its connections."""

from __future__ import annotations

import socket

from quota_gateway.admin.connection import AdminConnection
from quota_gateway.admin.operations import AdminOperations
from quota_gateway.sockets.acceptor import Acceptor
from quota_gateway.sockets.addresses import Address
from quota_gateway.sockets.listening import bind_listener

MAX_CONNECTIONS = 16  # concurrent connections; far more than operators' tools need
ACCEPT_RETRY_DELAY = 0.02  # seconds before a retry after descriptors ran out; some are free by then


class AdminServer:
    """Serves the admin API.

    Its connections have a separate limit, so that clients of the gateway can't keep operators out.
    """

    def __init__(self, operations: AdminOperations) -> None:
        """Initialize the server; `operations` handles the requests."""
        self.operations = operations
        self.connections: dict[AdminConnection, None] = {}  # an ordered set, oldest first
        self._acceptor = Acceptor(self._create_connection, ACCEPT_RETRY_DELAY)

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, None before `listen` and after `close`."""
        return self._acceptor.listener

    def listen(self, address: Address) -> None:
        """Accept connections at a host and port; raises OSError if they can't be bound."""
        self._acceptor.start(bind_listener(address))

    def close(self) -> None:
        """Close the listening socket and abort all connections."""
        self._acceptor.close()
        for connection in list(self.connections):
            connection.abort()

    def _create_connection(self) -> AdminConnection:
        self._evict_oldest()
        connection = AdminConnection(self.operations, self._remove_connection)
        self.connections[connection] = None
        return connection

    def _evict_oldest(self) -> None:
        """Abort the oldest connection if the limit is reached, so that idle peers can't keep others out."""
        if len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort()

    def _remove_connection(self, connection: AdminConnection) -> None:
        self.connections.pop(connection, None)
