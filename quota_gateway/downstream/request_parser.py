"""Validation of client requests against the protocol and the bounds in the settings.

Every value that a client sends is checked here before the policy engine sees it: an unbounded number of
units, sent under a customer's id, would use up that customer's quota.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import NamedTuple

from quota_gateway.body_streaming import RequestBodyStream
from quota_gateway.dispatch.client_request import ClientRequest
from quota_gateway.downstream.request_reader import RequestReader
from quota_gateway.errors import InvalidRequestError
from quota_gateway.model.settings import Idempotency, RequestClass, Settings

CALL_ID_PATTERN = re.compile(rb"[0-9A-Za-z_.-]{1,64}")
CLIENT_PARAMETER_PATTERN = re.compile(rb"[?&]client=([^&]*)")
CUSTOMER_PATTERN = re.compile(rb"[0-9A-Fa-f]{16}")
BUDGET_PATTERN = re.compile(rb"\d{1,6}(\.\d{1,9})?")
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[!-~]{1,256}")
QUOTA_FIELD_PATTERN = re.compile(rb"\s*([a-z_]+)\s*=\s*(\d{1,9}(?:\.\d{1,9})?)\s*")
CUSTOMER_COUNT = 1 << 33  # the protocol's customer numbers run from 0 to this value, exclusive
BUDGET_TOLERANCE = 1.01  # multiple of the class's deadline that a budget may reach, as clients may round up
QUOTA_CACHE_SIZE = 4096  # cached Quota-Info values; most requests repeat a few of them


class QuotaInfo(NamedTuple):
    """The fields of a Quota-Info header."""

    units: float
    spread: int  # number of gateways that share the customer's quota
    first_gateway_index: int  # index of the first of these gateways


@lru_cache(maxsize=QUOTA_CACHE_SIZE)
def parse_quota_info(value: bytes) -> QuotaInfo:
    """Parse a Quota-Info header; raises InvalidRequestError."""
    fields: dict[bytes, float] = {}
    for part in value.split(b","):
        match = QUOTA_FIELD_PATTERN.fullmatch(part)
        if match is None or match[1] in fields:
            raise InvalidRequestError(400, "Quota-Info is not in its form")
        fields[match[1]] = float(match[2])
    try:
        units = fields[b"units"]
        spread = fields[b"spread"]
        first_gateway_index = fields[b"first"]
    except KeyError as error:
        raise InvalidRequestError(400, "Quota-Info lacks units, spread or first") from error
    if spread != int(spread) or first_gateway_index != int(first_gateway_index):
        raise InvalidRequestError(400, "Quota-Info has a part of a gateway")
    return QuotaInfo(units, int(spread), int(first_gateway_index))


def parse_customer(target: bytes) -> str:
    """Return the customer's id, 16 hex digits in lower case; raises InvalidRequestError."""
    values: list[bytes] = CLIENT_PARAMETER_PATTERN.findall(target)
    if len(values) != 1 or not CUSTOMER_PATTERN.fullmatch(values[0]):
        raise InvalidRequestError(400, "client is not 16 hex digits")
    if int(values[0], 16) >= CUSTOMER_COUNT:
        raise InvalidRequestError(400, "client is out of bounds")
    return values[0].decode().lower()


def required_header(headers: dict[bytes, bytes], name: bytes) -> bytes:
    """Return a header's value; raises InvalidRequestError if it is missing or empty."""
    value = headers.get(name)
    if not value:
        raise InvalidRequestError(400, f"no {name.decode().title()}")
    return value


def matching_header(headers: dict[bytes, bytes], name: bytes, pattern: re.Pattern[bytes]) -> bytes:
    """Return a header's value; raises InvalidRequestError if it is missing or doesn't match."""
    value = required_header(headers, name)
    if not pattern.fullmatch(value):
        raise InvalidRequestError(400, f"{name.decode().title()} is not in its form")
    return value


class RequestParser:
    """Builds a ClientRequest from the fields of an HTTP request; its methods raise InvalidRequestError."""

    def __init__(self, settings: Settings) -> None:
        """Initialize with the request classes, plans and bounds of the settings."""
        self.request_classes = {c.name: c for c in settings.request_classes}
        self.plan_names = {p.name for p in settings.plans}
        self.gateway_count = settings.gateway_count
        self.max_units = settings.max_request_units

    def parse(self, reader: RequestReader, body: bytes) -> ClientRequest:
        """Return the request with its complete body."""
        return self.build_request(reader, body, None, False)

    def parse_streamed(self, reader: RequestReader, length: int | None) -> ClientRequest:
        """Return the request with a stream for its body; `length` is in bytes, None for a chunked body."""
        return self.build_request(reader, b"", length, True)

    def build_request(
        self, reader: RequestReader, body: bytes, length: int | None, streamed: bool
    ) -> ClientRequest:
        """Return the request after checking its fields in the order in which errors take precedence."""
        headers = reader.headers
        method = reader.method()
        customer = parse_customer(reader.target)
        request_class = self.parse_class(headers, method)
        plan = self.parse_plan(headers)
        if (body or streamed) and method == b"GET":
            raise InvalidRequestError(400, "a GET with a body")
        quota = self.parse_quota(headers)
        budget = self.parse_budget(headers, request_class)
        call_id = matching_header(headers, b"x-call-id", CALL_ID_PATTERN)
        head_lines = [
            b"%b %b HTTP/1.1" % (method, reader.target),
            b"Host: %b" % headers.get(b"host", b"backend.local"),
            b"X-Call-Id: %b" % call_id,
            *self.idempotency_key_lines(headers, request_class),
        ]
        if method != b"GET":
            head_lines += self.body_lines(headers, None if streamed else len(body))
        return ClientRequest(
            call_id=call_id,
            received_at=reader.arrived_at,
            client_timeout=budget,
            request_class=request_class.name,
            plan=plan,
            customer=customer,
            units=quota.units,
            quota_spread=quota.spread,
            first_gateway_index=quota.first_gateway_index,
            is_retry=headers.get(b"x-again") == b"1",
            head=b"\r\n".join((*head_lines, b"")),
            body=body,
            body_stream=RequestBodyStream(length, budget) if streamed else None,
            forbids_repeats=request_class.idempotency is not Idempotency.IDEMPOTENT,
            read_at=reader.received_at,
        )

    def parse_class(self, headers: dict[bytes, bytes], method: bytes) -> RequestClass:
        """Return the class that X-Call-Class names; it determines the method."""
        name = required_header(headers, b"x-call-class").decode("latin-1")
        request_class = self.request_classes.get(name)
        if request_class is None:
            raise InvalidRequestError(400, "X-Call-Class names no class")
        expected = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
        if method != expected:
            raise InvalidRequestError(405, "the class goes by another method", b"Allow: %b\r\n" % expected)
        return request_class

    def parse_plan(self, headers: dict[bytes, bytes]) -> str:
        """Return the name of the customer's plan."""
        plan = required_header(headers, b"plan").decode("latin-1")
        if plan not in self.plan_names:
            raise InvalidRequestError(400, "Plan names no plan")
        return plan

    def parse_quota(self, headers: dict[bytes, bytes]) -> QuotaInfo:
        """Return the Quota-Info, checked against the bounds of the settings."""
        quota = parse_quota_info(required_header(headers, b"quota-info"))
        valid_units = 0 < quota.units <= self.max_units
        valid_spread = 1 <= quota.spread <= self.gateway_count
        if not (valid_units and valid_spread and quota.first_gateway_index < self.gateway_count):
            raise InvalidRequestError(400, "Quota-Info is out of bounds")
        return quota

    def parse_budget(self, headers: dict[bytes, bytes], request_class: RequestClass) -> float:
        """Return for how many seconds the client waits for its response."""
        budget = float(matching_header(headers, b"x-budget", BUDGET_PATTERN))
        if not 0 < budget <= BUDGET_TOLERANCE * request_class.deadline:
            raise InvalidRequestError(400, "X-Budget is nought, or longer than the class's deadline")
        return budget

    def idempotency_key_lines(
        self, headers: dict[bytes, bytes], request_class: RequestClass
    ) -> tuple[bytes, ...]:
        """Return the Idempotency-Key line, which only classes with a key may have."""
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            key = matching_header(headers, b"idempotency-key", IDEMPOTENCY_KEY_PATTERN)
            return (b"Idempotency-Key: %b" % key,)
        if b"idempotency-key" in headers:
            raise InvalidRequestError(400, "Idempotency-Key on a class that carries none")
        return ()

    def body_lines(self, headers: dict[bytes, bytes], length: int | None) -> list[bytes]:
        """Return the header lines that describe a body; without a length, its stream adds the framing."""
        lines = []
        if length is not None:
            lines.append(b"Content-Length: %d" % length)
        if b"content-type" in headers:
            lines.append(b"Content-Type: %b" % headers[b"content-type"])
        return lines
