"""Paths, header names and value formats of the platform's protocol."""

import typing

from mulberryway.objects import eras

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE",
    "ERA",
    "END_TO_END_HEADERS",
    "EXPECTED_INSTANCE",
    "HANDLE_SOURCE",
    "RESERVATION",
    "CANCEL_RESERVATION_PATH",
    "RESERVE_PATH",
    "LAST_EVENT",
    "LEAVING",
    "LENGTH_HINT",
    "MAX_LOGGED_LENGTH",
    "MODEL",
    "NOT_EXECUTED",
    "OBJECTS",
    "ORDER",
    "RESERVED_HEADERS",
    "RETRY_AFTER",
    "SIGNATURE",
    "RESUMED_ATTEMPT",
    "PHASE",
    "PREFIX",
    "RATE_LIMIT",
    "READY",
    "REPORT",
    "RESOLVE",
    "PATH_PREFIX",
    "SCHEME",
    "TENANT",
    "TOKEN_COUNTS",
    "URGENCY",
    "parse_amount",
    "parse_era",
    "parse_id",
    "parse_string",
    "parse_integer",
    "parse_zone",
]

PATH_PREFIX = "/mulberryway"
READY = f"{PATH_PREFIX}/ready"
RESOLVE = f"{PATH_PREFIX}/resolve"
OBJECTS = f"{PATH_PREFIX}/objects"
REPORT = f"{PATH_PREFIX}/report"
ORDER = f"{PATH_PREFIX}/order"
KV_HANDLE_PATH = f"{PATH_PREFIX}/kv-handle"
RESERVE_PATH = f"{PATH_PREFIX}/hold-take"
CANCEL_RESERVATION_PATH = f"{PATH_PREFIX}/hold-drop"

SCHEME = "token "

# Unique id of each attempt of a caller; upstreams return it in the response.
ATTEMPT_ID = "Attempt-Id"
# Remaining time until the sender's timeout in ms, not a point in time.
DEADLINE = "Deadline-Ms"
# Id of the server incarnation that may run the request.
EXPECTED_INSTANCE = "Expect-Instance"
# Name of the client account.
TENANT = "Tenant"
MODEL = "Model"
# Number of prompt tokens and maximum number of output tokens.
TOKEN_COUNTS = "Token-Counts"
# ``ID:TOKENS`` for each segment of the prompt, in order.
PREFIX = "Prompt-Prefix"
# The caller's estimate of the number of output tokens.
LENGTH_HINT = "Length-Hint"
# ``prefill`` for a request that runs the prefill only.
PHASE = "Serving-Phase"
# Rank from 0 to 9 by which an engine admits and preempts, 0 first; without it
# 5 applies.
URGENCY = "Request-Urgency"
# ``IP:PORT/HANDLE`` of a KV cache on the engine that ran the prefill.
HANDLE_SOURCE = "Kv-Source"
LAST_EVENT = "Last-Event-Id"
# Attempt id of the caller's attempt that brought a resumed stream's first
# event.
RESUMED_ATTEMPT = "Resumes"
# Name of a reservation of a slot and KV blocks, which is valid for one use.
RESERVATION = "Kv-Hold"
# Response header: the upstream has not run the request and will not run it.
NOT_EXECUTED = "Not-Executed"
# Response header: requests per second that the upstream accepts from all
# routers together, for as long as its responses have the header.
RATE_LIMIT = "Server-Limit"
# Response header: ``1`` if the upstream will end soon.
LEAVING = "Server-Leaving"
# Response header of a rejection: the upstream wants no request of this router
# for so long, in seconds with fractions; a date is allowed too (RFC 9110).
RETRY_AFTER = "Retry-After"
# Response header: the signature of the server that has run the request.
SIGNATURE = "Server-Seal"
# Response header of the store: its era; see ``objects.eras``.
ERA = "Store-Era"
# Of a zone's name, which other VMs are sent.
MAX_ZONE_LENGTH = 128
# Bounds the length of a received value in a log line.
MAX_LOGGED_LENGTH = 100

# Headers of requests and responses that concern their two ends, whatever a
# ``Connection`` header says.
END_TO_END_HEADERS = frozenset(
    name.lower()
    for name in (
        ATTEMPT_ID,
        DEADLINE,
        MODEL,
        TOKEN_COUNTS,
        PREFIX,
        LENGTH_HINT,
        LAST_EVENT,
        RESUMED_ATTEMPT,
        SIGNATURE,
    )
)

# Headers that only routers may send to upstreams.  They are removed from
# callers' requests, because a caller could use them to act as another client
# account or to access the KV cache of another request.
RESERVED_HEADERS = frozenset(
    (
        "tenant",
        "expect-instance",
        "expect-version",
        "serving-phase",
        "request-urgency",
        "pin-ms",
        "kv-hold",
        "kv-fetch",
        "kv-source",
        "kv-backup",
    )
)


def parse_integer(
    value: typing.Any, minimum: int = 0, maximum: int | None = None
) -> int:
    """Return a JSON value as an integer.

    :param value: the JSON value
    :param minimum: the smallest valid number
    :param maximum: the largest valid number; None for no limit
    :returns: the number
    :raises ValueError: if the value is not an integer or is out of range
    """
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int or value < minimum:
        raise ValueError(f"expected an integer of at least {minimum}")
    if maximum is not None and value > maximum:
        raise ValueError(f"expected an integer of at most {maximum}")
    return value


def parse_amount(value: typing.Any, maximum: float) -> float:
    """Return an optional JSON number that is at least 0.

    :param value: the JSON value
    :param maximum: the number that larger ones are reduced to
    :returns: the number; 0 if the value is missing or is not such a number
    """
    if type(value) not in (int, float) or not value > 0:
        return 0.0
    return float(min(value, maximum))


def parse_era(text: str) -> int:
    """Return the store's era from its header.

    :param text: the header's value
    :returns: the era
    :raises ValueError: if it is not a decimal number in the valid range
    """
    if not (text.isascii() and text.isdecimal()):
        raise ValueError("expected a decimal number")
    if len(text) > len(str(eras.MAX_ERA)) or int(text) > eras.MAX_ERA:
        raise ValueError("the number is too large")
    return int(text)


def parse_id(text: str) -> str:
    """Return an id that is sent in headers.

    :param text: the id
    :returns: the id
    :raises ValueError: if a header cannot carry it
    """
    parse_string(text)
    if not (text.isascii() and text.isprintable() and text == text.strip()):
        raise ValueError("expected printable ASCII characters")
    return text


def parse_string(value: typing.Any) -> str:
    """Return a JSON value as a non-empty string.

    :param value: the JSON value
    :returns: the string
    :raises ValueError: if the value is not a string or is empty
    """
    if not isinstance(value, str) or not value:
        raise ValueError("expected a non-empty string")
    return value


def parse_zone(value: typing.Any) -> str:
    """Return a JSON value as the name of an availability zone.

    :param value: the JSON value
    :returns: the name, which may be empty
    :raises ValueError: if it cannot be the name of a zone
    """
    if not isinstance(value, str) or len(value) > MAX_ZONE_LENGTH:
        raise ValueError("expected the name of a zone")
    # Nor halves of surrogate pairs, which cannot be encoded.
    if not value.isprintable():
        raise ValueError("expected a zone of printable characters")
    return value
