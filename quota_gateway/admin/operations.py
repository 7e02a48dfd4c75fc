"""The operations of the admin API, and the routing of requests to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote


class AdminResponse(NamedTuple):
    """An HTTP status and the text of the body."""

    status: HTTPStatus
    text: str


class Route(NamedTuple):
    """The operation at a path, and the only method that it allows."""

    method: str
    execute: Callable[[], AdminResponse]


@dataclass(frozen=True, slots=True)
class AdminOperations:
    """The gateway's functions that operators can call."""

    is_healthy: Callable[[], bool]
    metrics: Callable[[], str]
    set_maintenance: Callable[[str, bool], bool]  # endpoint id, enabled; returns False for an unknown id
    set_draining: Callable[[bool], None]

    def handle_request(self, method: str, path: str) -> AdminResponse:
        """Execute the operation at a path; respond 404 to an unknown path and 405 to a wrong method."""
        route = self._find_route(path)
        if route is None:
            return AdminResponse(HTTPStatus.NOT_FOUND, "no such call\n")
        if method != route.method:
            return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, f"only {route.method}\n")
        return route.execute()

    def _find_route(self, path: str) -> Route | None:
        match path.split("/"):
            case ["", "healthcheck"]:
                return Route("GET", self._report_health)
            case ["", "stats"]:
                return Route("GET", self._report_metrics)
            case ["", "healthcheck", "fail"]:
                return Route("POST", self._start_draining)
            case ["", "healthcheck", "ok"]:
                return Route("POST", self._stop_draining)
            case [_, "backends", endpoint_id, "maint" | "ready" as state]:
                return Route("POST", partial(self._change_maintenance, unquote(endpoint_id), state))
            case _:
                return None

    def _report_health(self) -> AdminResponse:
        if self.is_healthy():
            return AdminResponse(HTTPStatus.OK, "ready\n")
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")

    def _report_metrics(self) -> AdminResponse:
        return AdminResponse(HTTPStatus.OK, self.metrics())

    def _start_draining(self) -> AdminResponse:
        self.set_draining(True)
        return AdminResponse(HTTPStatus.OK, "draining\n")

    def _stop_draining(self) -> AdminResponse:
        self.set_draining(False)
        return AdminResponse(HTTPStatus.OK, "taking clients\n")

    def _change_maintenance(self, endpoint_id: str, state: str) -> AdminResponse:
        if self.set_maintenance(endpoint_id, state == "maint"):
            return AdminResponse(HTTPStatus.OK, f"{state}\n")
        return AdminResponse(HTTPStatus.NOT_FOUND, "no such backend\n")
