"""Names and formats of the platform's messages."""

import typing

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE",
    "EXPECTED_INSTANCE",
    "HANDLE_SOURCE",
    "RESERVATION",
    "CANCEL_RESERVATION_PATH",
    "RESERVE_PATH",
    "LAST_EVENT",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "OBJECTS",
    "ORDER",
    "RESERVED_HEADERS",
    "PHASE",
    "PREFIX",
    "READY",
    "REPORT",
    "RESOLVE",
    "PATH_PREFIX",
    "SCHEME",
    "TENANT",
    "TOKEN_COUNTS",
    "parse_string",
    "parse_integer",
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

# Each attempt of a caller has an id of its own, which upstreams echo.
ATTEMPT_ID = "Attempt-Id"
# Milliseconds that the sender will still wait, not a point in time.
DEADLINE = "Deadline-Ms"
# The id of the one incarnation of a server that may run the request.
EXPECTED_INSTANCE = "Expect-Instance"
# The name of the client account.
TENANT = "Tenant"
MODEL = "Model"
# Prompt tokens and the most output tokens.
TOKEN_COUNTS = "Token-Counts"
# ``ID:TOKENS`` for each part of the prompt, in order.
PREFIX = "Prompt-Prefix"
# The caller's estimate of the output tokens.
LENGTH_HINT = "Length-Hint"
# ``prefill`` where only the prompt is to be read.
PHASE = "Serving-Phase"
# ``IP:PORT/HANDLE`` of a KV cache that was read elsewhere.
HANDLE_SOURCE = "Kv-Source"
LAST_EVENT = "Last-Event-Id"
# Names a reservation of a slot and memory, which can be used once.
RESERVATION = "Kv-Hold"
# On an answer: the upstream has not run the request and never will.
NOT_EXECUTED = "Not-Executed"

# What the system alone says to upstreams; a caller's own would let it speak
# for another client account, or use another request's memory.
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


def parse_integer(value: typing.Any, minimum: int = 0) -> int:
    """Return a whole number.

    :param value: what was sent
    :param minimum: the least that makes sense
    :returns: the number
    :raises ValueError: if it is none, or too small
    """
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int or value < minimum:
        raise ValueError(f"expected a whole number from {minimum} on")
    return value


def parse_string(value: typing.Any) -> str:
    """Return a text that is not empty.

    :param value: what was sent
    :returns: the text
    :raises ValueError: if it is none
    """
    if not isinstance(value, str) or not value:
        raise ValueError("expected a text")
    return value
