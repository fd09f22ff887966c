"""Faults as values, and the one tree of exceptions.

A fault is what an operation returns, in ``expression.Error``, when its
caller has to decide what happens next.  An exception is for what stops a
program or a whole step: bad settings, a broken invariant.
"""

import enum
import typing

__all__ = [
    "Code",
    "Fault",
    "MulberrywayError",
    "PeerError",
    "PlatformError",
    "ExecutionStatus",
    "SettingsError",
    "Step",
    "TablesError",
    "UpstreamError",
]


class ExecutionStatus(enum.Enum):
    """Whether the request behind a fault was executed by an upstream.

    Only ``NOT_RUN`` lets a non-idempotent request go to another upstream.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class Step(enum.Enum):
    """The hop at which a fault arose; spans bear the same names."""

    SETTINGS = "settings"
    TABLES = "tables"
    CALLER = "caller"
    ADMISSION = "admission"
    QUEUE = "queue"
    PREFILL = "prefill"
    TRANSFER = "transfer"
    RESERVE = "reserve"
    DECODE = "decode"
    SERVICE = "service"
    PEER = "peer"
    PLATFORM = "platform"
    ADMIN = "admin"


class Code(enum.Enum):
    """Stable codes that callers and operators may match on.

    Each value is the code in the JSON answer; docs/operators/errors.md
    lists them with their HTTP status.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    OVER_ALLOWANCE = "over_allowance"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUARANTINED = "quarantined"
    REQUEST_ID_REQUIRED = "request_id_required"
    REQUEST_ID_REUSED = "request_id_reused"
    DUPLICATE = "duplicate"
    CANCELLED = "cancelled"
    STOPPING = "stopping"
    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REFUSED = "peer_refused"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    HISTORY_GONE = "history_gone"
    INVALID_TABLES = "invalid_tables"
    INTERNAL = "internal"


class Fault:
    """What went wrong, where, and whether the request was executed.

    :param code: the stable code
    :param step: the hop at which it arose
    :param peer: the other end, as ``host:port`` or a name; empty if none
    :param run: whether an upstream executed the request
    :param message: one sentence for people; never holds a key
    :param retry_after_ms: when another try makes sense, in milliseconds;
        none where a repeat cannot help
    :param has_died: the connection broke in the middle, so that the other
        end may have died of this very request
    :param answer: what the upstream itself answered, where a caller may see
        it: a reply of ``upstreams.base``; none where it answered nothing
    """

    __slots__ = (
        "code",
        "step",
        "peer",
        "run",
        "message",
        "retry_after_ms",
        "has_died",
        "answer",
        "inputs",
    )

    def __init__(
        self,
        code: Code,
        step: Step,
        peer: str = "",
        run: ExecutionStatus = ExecutionStatus.NOT_RUN,
        message: str = "",
        retry_after_ms: int | None = None,
        has_died: bool = False,
        answer: typing.Any = None,
    ) -> None:
        self.code = code
        self.step = step
        self.peer = peer
        self.run = run
        self.message = message or code.value.replace("_", " ")
        self.retry_after_ms = retry_after_ms
        self.has_died = has_died
        self.answer = answer
        # What decided, with its age where it has one; for logs only.
        self.inputs: dict[str, int | float | str] = {}

    def __repr__(self) -> str:
        return (
            f"Fault({self.code.value}, step={self.step.value}, "
            f"peer={self.peer!r}, run={self.run.value}, {self.message!r})"
        )


class MulberrywayError(Exception):
    """The base of all exceptions that this package raises itself."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.step.value} {fault.peer}: {fault.message}")
        self.fault = fault


class SettingsError(MulberrywayError):
    """A settings file that cannot be used.

    :param file: the file's name
    :param key: the option at fault, as ``section.option``
    :param expected: what would have been accepted
    """

    def __init__(self, file: str, key: str, expected: str) -> None:
        message = f"{file}: {key}: expected {expected}"
        super().__init__(
            Fault(Code.BAD_REQUEST, Step.SETTINGS, file, message=message)
        )
        self.file = file
        self.key = key
        self.expected = expected


class TablesError(MulberrywayError):
    """Tables that are malformed or whose join does not hold."""


class PlatformError(MulberrywayError):
    """The platform's object API cannot be used as asked."""


class PeerError(MulberrywayError):
    """Another process of the system cannot be used as asked."""


class UpstreamError(MulberrywayError):
    """An upstream cannot be used as asked."""
