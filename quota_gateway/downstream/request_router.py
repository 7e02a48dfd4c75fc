"""Routing of client requests to the API or the readiness check, by path and method."""

from __future__ import annotations

from collections.abc import Callable

from quota_gateway.dispatch.client_request import ClientRequest
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.request_parser import RequestParser
from quota_gateway.downstream.request_reader import RequestReader
from quota_gateway.downstream.response_writer import ResponseWriter
from quota_gateway.errors import InvalidRequestError
from quota_gateway.model.settings import Settings

API_PATH = b"/api"
READINESS_PATH = b"/ready"


class RequestRouter:
    """Submits API requests to the dispatcher and answers readiness checks; shared by all connections."""

    def __init__(
        self, dispatcher: RequestDispatcher, settings: Settings, is_ready: Callable[[], bool]
    ) -> None:
        """Initialize with the dispatcher; `is_ready` returns True while the gateway is ready."""
        self.dispatcher = dispatcher
        self.parser = RequestParser(settings)
        self.is_ready = is_ready

    def route(self, reader: RequestReader, writer: ResponseWriter, client_half_closed: bool) -> None:
        """Submit or answer a complete request; raises InvalidRequestError."""
        path = reader.path()
        if path == READINESS_PATH:
            self.answer_readiness_check(reader, writer)
        elif client_half_closed:  # the protocol treats a half-closed client as disconnected
            writer.send(429, b"")
        else:
            self.check_api_request(reader, path)
            request = self.parser.parse(reader, bytes(reader.body))
            self.check_call_id(request)
            writer.request_id = self.dispatcher.submit(request, writer)

    def parse_streamed(self, reader: RequestReader, length: int | None) -> ClientRequest:
        """Return a request whose body is still to be read; raises InvalidRequestError."""
        self.check_api_request(reader, reader.path())
        request = self.parser.parse_streamed(reader, length)
        self.check_call_id(request)
        return request

    def answer_readiness_check(self, reader: RequestReader, writer: ResponseWriter) -> None:
        """Answer 200 if the gateway is ready, otherwise 503; raises InvalidRequestError."""
        if reader.method() != b"GET":
            raise InvalidRequestError(405, "only GET", b"Allow: GET\r\n")
        writer.send(200 if self.is_ready() else 503, b"")

    def check_api_request(self, reader: RequestReader, path: bytes) -> None:
        """Raise InvalidRequestError unless the path and the method are the API's."""
        if path != API_PATH:
            raise InvalidRequestError(404, "no such path")
        if reader.method() not in (b"GET", b"POST"):
            raise InvalidRequestError(405, "only GET and POST", b"Allow: GET, POST\r\n")

    def check_call_id(self, request: ClientRequest) -> None:
        """Raise InvalidRequestError if the call id is in use, or must not be used again."""
        if self.dispatcher.is_call_active(request.call_id):
            raise InvalidRequestError(409, "a request with this X-Call-Id is open or has been sent on")
