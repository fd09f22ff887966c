"""Describes how the responses of upstreams arrived, for logs and metrics."""

import collections
import collections.abc
import enum
import http.client
import itertools
import threading

import urllib3.exceptions

from mulberryway import errors
from mulberryway import metrics
from mulberryway import response_heads
from mulberryway.upstreams import bounded_socket

__all__ = [
    "FAILURES",
    "UNSOLICITED",
    "CallDetails",
    "FailureCounter",
    "FailureReason",
    "Framing",
    "UnsolicitedCounter",
    "UpstreamEndedError",
    "find_reason",
]


class UpstreamEndedError(ConnectionResetError):
    """An upstream has ended together with its response."""


class Framing(enum.Enum):
    """What ends the body of a response."""

    # No complete head was received.
    UNKNOWN = "unknown"
    LENGTH = "length"
    CHUNKS = "chunks"
    # The end of the connection.
    CONNECTION = "connection"
    NO_BODY = "no_body"


class FailureReason(enum.Enum):
    """Why a call to an upstream has no response that counts."""

    # No connection, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The connection was closed before the first byte of a response.
    NO_RESPONSE = "no_response"
    # The head broke off, or is none.
    INVALID_HEAD = "invalid_head"
    # The connection was closed before the announced end of the body.
    INCOMPLETE_BODY = "incomplete_body"
    # The chunks of the body are malformed.
    INVALID_BODY = "invalid_body"
    RESET = "reset"
    TIMEOUT = "timeout"
    TOO_LARGE = "too_large"
    # Nothing but its connection ended the response, and the upstream ended
    # with it.
    UPSTREAM_ENDED = "upstream_ended"
    # The response echoes the id of another request, or none.
    OTHER_REQUEST = "other_request"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    CANCELLED = "cancelled"
    OTHER = "other"


ANSWER_ERRORS = (
    bounded_socket.ResponseSizeError,
    response_heads.HeadError,
    response_heads.BodyError,
)
# The first that an exception or one of its causes is an instance of.
REASONS_BY_ERROR: tuple[tuple[type[BaseException], FailureReason], ...] = (
    (UpstreamEndedError, FailureReason.UPSTREAM_ENDED),
    (bounded_socket.ResponseSizeError, FailureReason.TOO_LARGE),
    (response_heads.HeadError, FailureReason.INVALID_HEAD),
    (response_heads.BodyError, FailureReason.INVALID_BODY),
    (http.client.RemoteDisconnected, FailureReason.NO_RESPONSE),
    (http.client.IncompleteRead, FailureReason.INCOMPLETE_BODY),
    (ConnectionResetError, FailureReason.RESET),
    (BrokenPipeError, FailureReason.RESET),
    (TimeoutError, FailureReason.TIMEOUT),
    (urllib3.exceptions.TimeoutError, FailureReason.TIMEOUT),
    # What is left of these are bodies whose chunks end early.
    (urllib3.exceptions.ProtocolError, FailureReason.INCOMPLETE_BODY),
)


class CallDetails:
    """How the response to one call arrived.

    ``use`` is the number of the call on its connection, from 1; 0 if it was
    not sent.  ``echo`` is the id that the response echoes; none without one.
    ``received`` is the number of bytes received.
    """

    __slots__ = ("use", "framing", "echo", "received")

    def __init__(self) -> None:
        self.use = 0
        self.framing = Framing.UNKNOWN
        self.echo: str | None = None
        self.received = 0

    def make_fields(self) -> dict[str, int | float | str]:
        """Return the fields of a log line."""
        return {
            "connection_use": self.use,
            "framing": self.framing.value,
            "received_bytes": self.received,
        }


class FailureCounter:
    """Counts failed calls by step and reason; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record(
        self,
        fault: errors.Fault,
        reason: FailureReason,
        details: CallDetails | None = None,
    ) -> errors.Fault:
        """Count a failed call, and add its details to its log lines.

        :param fault: the call's fault
        :param reason: why it failed
        :param details: how its response arrived, if that is known
        :returns: the same fault
        """
        fault.inputs["failure"] = reason.value
        if details is not None:
            fault.inputs.update(details.make_fields())
        with self._lock:
            self._counts[fault.step.value, reason.value] += 1
        return fault

    def get_count(self, reason: FailureReason) -> int:
        """Return how many calls have failed for a reason, at all steps.

        :param reason: the reason
        """
        with self._lock:
            return sum(
                count
                for (_, name), count in self._counts.items()
                if name == reason.value
            )

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register the metric of failed calls.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "upstream.failed_calls",
            "calls to upstreams without a response that counts, by reason",
            self._list_counts,
        )

    def _list_counts(self) -> list[tuple[metrics.Labels, int]]:
        with self._lock:
            return [
                ({"step": step, "reason": reason}, count)
                for (step, reason), count in self._counts.items()
            ]


class UnsolicitedCounter:
    """Counts when bytes arrive that no request has asked for."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count = 0

    def increment(self) -> None:
        """Count one more."""
        with self._lock:
            self._count += 1

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register the metric.

        :param metrics_: the process's instruments
        """
        metrics_.register_counter(
            "upstream.unsolicited",
            "times that an upstream has sent bytes that no request asked for",
            lambda: [({}, self._count)],
        )


# The calls of this process.
FAILURES = FailureCounter()
UNSOLICITED = UnsolicitedCounter()


def find_reason(error: BaseException) -> FailureReason:
    """Return why a call failed.

    :param error: the exception that the HTTP library raised
    """
    causes = list(_list_causes(error))
    return next(
        (
            reason
            for (kind, reason), cause in itertools.product(
                REASONS_BY_ERROR, causes
            )
            if isinstance(cause, kind)
        ),
        FailureReason.OTHER,
    )


def is_answer_wrong(error: BaseException) -> bool:
    """Return whether a call failed for what its upstream has sent.

    What is missing may have been lost on the way; what is wrong was not.

    :param error: the exception that the HTTP library raised
    """
    causes = list(_list_causes(error))
    return any(
        isinstance(cause, ANSWER_ERRORS) for cause in causes
    ) and not any(
        isinstance(cause, response_heads.IncompleteHeadError)
        for cause in causes
    )


def _list_causes(
    error: BaseException,
) -> collections.abc.Iterator[BaseException]:
    """Yield an exception, its arguments, and those of its causes."""
    cause: BaseException | None = error
    while cause is not None:
        yield cause
        yield from (
            argument
            for argument in cause.args
            if isinstance(argument, BaseException)
        )
        cause = cause.__cause__
