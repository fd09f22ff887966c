"""Fault values and the exception hierarchy.

Operations return a fault in ``expression.Error`` when their caller has to
decide how to proceed.  Exceptions are raised for errors that end a program
or a whole step, such as invalid settings or a broken invariant.
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
    """Whether an upstream executed the request behind a fault.

    A non-idempotent request may be sent to another upstream only after
    ``NOT_RUN``.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class Step(enum.Enum):
    """The step of a request in which a fault arose; spans use these names."""

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
    """Stable error codes that callers and operators may match.

    Each value is the code in the JSON reply; docs/operators/errors.md lists
    them with their HTTP status.
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
    """An error with its step and whether the request was executed.

    :param code: the stable error code
    :param step: the step in which the fault arose
    :param peer: the remote end, as ``host:port`` or a name; empty if none
    :param run: whether an upstream executed the request
    :param message: one readable sentence; must not contain a key
    :param retry_after_ms: after how long a retry is useful, in ms; none if
        a retry cannot succeed
    :param has_died: whether the connection broke during the request, so that
        this request may have crashed the remote end
    :param is_path_fault: whether only the path to the remote end may have
        failed, so that the fault proves nothing about the remote end
    :param is_answer_fault: whether what the remote end has sent is wrong,
        which no path explains
    :param answer: the upstream's own reply (see ``upstreams.base``) if the
        caller may see it; none if the upstream sent no reply
    """

    __slots__ = (
        "code",
        "step",
        "peer",
        "run",
        "message",
        "retry_after_ms",
        "has_died",
        "is_path_fault",
        "is_answer_fault",
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
        is_path_fault: bool = False,
        is_answer_fault: bool = False,
    ) -> None:
        self.code = code
        self.step = step
        self.peer = peer
        self.run = run
        self.message = message or code.value.replace("_", " ")
        self.retry_after_ms = retry_after_ms
        self.has_died = has_died
        self.is_path_fault = is_path_fault
        self.is_answer_fault = is_answer_fault
        self.answer = answer
        # Inputs of the decision, with their ages where known; logged only.
        self.inputs: dict[str, int | float | str] = {}

    def __repr__(self) -> str:
        return (
            f"Fault({self.code.value}, step={self.step.value}, "
            f"peer={self.peer!r}, run={self.run.value}, {self.message!r})"
        )


class MulberrywayError(Exception):
    """Base class of all exceptions that this package raises."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.step.value} {fault.peer}: {fault.message}")
        self.fault = fault


class SettingsError(MulberrywayError):
    """An invalid settings file.

    :param file: the name of the file
    :param key: the invalid option, as ``section.option``
    :param expected: a description of valid values
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
    """Malformed tables, or tables with inconsistent references."""


class PlatformError(MulberrywayError):
    """The platform's object API rejected or failed an operation."""


class PeerError(MulberrywayError):
    """Another process of the system rejected or failed an operation."""


class UpstreamError(MulberrywayError):
    """An upstream rejected or failed an operation."""
