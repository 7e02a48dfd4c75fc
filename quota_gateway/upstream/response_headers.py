"""The response header fields that the gateway interprets."""

from __future__ import annotations

from quota_gateway.body_streaming import MAX_BODY_BYTES

# Exclusive upper limit of the units billed for one request; a larger value is an error of the endpoint.
MAX_BILLED_UNITS = 1e6


class ResponseHeaders:
    """The relevant header fields of one message."""

    __slots__ = (
        "billed_units",
        "content_length",
        "forwarded_headers",
        "has_connection_close",
        "is_chunked",
        "is_malformed",
        "is_rejection",
    )

    def __init__(self) -> None:
        """Initialize without any header fields."""
        self.billed_units = 0.0
        self.content_length: int | None = None  # in bytes; None if not declared
        self.forwarded_headers = b""  # header lines to forward to the client
        self.has_connection_close = False
        self.is_chunked = False
        self.is_malformed = False
        self.is_rejection = False  # whether there is `X-Rejected: 1`

    @property
    def is_ended_by_eof(self) -> bool:
        """Whether the body extends to the end of the stream, as announced by `Connection: close`."""
        return self.has_connection_close and self.content_length is None and not self.is_chunked

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header field as reported by httptools."""
        name = name.lower()
        value = value.strip()  # httptools leaves trailing whitespace in place
        match name:
            case b"x-rejected":
                self.is_rejection = value == b"1"
            case b"billed-units":
                self.billed_units = parse_billed_units(value)
            case b"content-length":
                self._set_content_length(value)
            case b"transfer-encoding":
                self.is_chunked = value.lower().endswith(b"chunked")
            case b"connection":
                self.has_connection_close = value.lower() == b"close"
            case b"content-type" | b"content-encoding":
                self.forwarded_headers += b"%b: %b\r\n" % (name.title(), value)

    def _set_content_length(self, value: bytes) -> None:
        self.content_length = int(value) if value.isdigit() else None
        if self.content_length is None or self.content_length > MAX_BODY_BYTES:
            self.is_malformed = True  # fails an invalid or overlong response at once


def parse_billed_units(value: bytes) -> float:
    """Return the units that an endpoint billed; 0 if the value is invalid."""
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < MAX_BILLED_UNITS else 0.0
