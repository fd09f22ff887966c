"""Records of a soak: requests, responses, executions, edits and faults.

All times are in milliseconds of the machine's monotonic clock, which all
processes on one machine share.
"""

import enum

__all__ = [
    "Arrival",
    "Attempt",
    "Edit",
    "Evacuation",
    "History",
    "RequestKind",
    "Run",
    "FaultWindow",
    "Shutdown",
]


class RequestKind(enum.Enum):
    """Kind of a request; the value is the path prefix of its route."""

    PLAIN = "plain"
    NON_IDEMPOTENT = "book"
    SINGLE_RUN_STREAM = "talk"
    RESUMABLE_STREAM = "digest"
    ADDED_ROUTE = "late"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (
            RequestKind.SINGLE_RUN_STREAM,
            RequestKind.RESUMABLE_STREAM,
        )

    @property
    def max_runs(self) -> int:
        """Maximum number of executions of one attempt."""
        return (
            1
            if self
            in (RequestKind.NON_IDEMPOTENT, RequestKind.SINGLE_RUN_STREAM)
            else 2
        )

    @property
    def service(self) -> str:
        """Name of the service that the route leads to."""
        return "llm" if self.is_stream else "app"


class Attempt:
    """One attempt of a caller and its outcome.

    :param name: unique id of the attempt
    :param kind: kind of the request
    :param key: API key that it carries
    :param vm: number of the VM that it was sent to
    :param began_ms: time of sending

    A caller that resumes a stream names the attempt that brought its first
    event in ``resumes`` and has the events up to ``last_event``.

    ``status`` is 0 if no response arrived, ``is_cut`` marks a truncated
    response, and ``has_disconnected`` a caller that did not wait for one.
    """

    __slots__ = (
        "name",
        "kind",
        "key",
        "vm",
        "began_ms",
        "ended_ms",
        "path",
        "sent",
        "status",
        "body",
        "seal",
        "echoed_id",
        "retry_after",
        "is_cut",
        "has_disconnected",
        "resumes",
        "last_event",
        "parts",
        "is_crashing",
    )

    def __init__(
        self, name: str, kind: RequestKind, key: str, vm: int, began_ms: int
    ) -> None:
        self.name = name
        self.kind = kind
        self.key = key
        self.vm = vm
        self.began_ms = began_ms
        self.ended_ms = began_ms
        self.path = ""
        self.sent = b""
        self.status = 0
        self.body = b""
        self.seal = ""
        self.echoed_id = ""
        self.retry_after = ""
        self.is_cut = False
        self.has_disconnected = False
        self.resumes = ""
        self.last_event = 0
        # Value of the header that lists the prompt's parts, and whether one of
        # them ends its engine.
        self.parts = ""
        self.is_crashing = False


class Run:
    """One execution of an attempt, as recorded by the upstream.

    :param attempt: id of the attempt
    :param instance: incarnation of the upstream
    :param account: client account in the request's headers
    :param at_ms: start time
    :param seal: value of the response's Server-Seal header
    :param text: request line and headers
    """

    __slots__ = ("attempt", "instance", "account", "at_ms", "seal", "text")

    def __init__(
        self,
        attempt: str,
        instance: str,
        account: str,
        at_ms: int,
        seal: str,
        text: str,
    ) -> None:
        self.attempt = attempt
        self.instance = instance
        self.account = account
        self.at_ms = at_ms
        self.seal = seal
        self.text = text


class Arrival:
    """A request that reached an engine, or the engine's end.

    :param instance: incarnation of the engine
    :param attempt: id of the attempt; empty for the engine's end
    :param parts: shared parts of the request's prompt
    :param crashes: the parts that have ended the engine
    :param at_ms: time of arrival
    """

    __slots__ = ("instance", "attempt", "parts", "crashes", "at_ms")

    def __init__(
        self,
        instance: str,
        attempt: str,
        parts: list[str],
        crashes: list[str],
        at_ms: int,
    ) -> None:
        self.instance = instance
        self.attempt = attempt
        self.parts = parts
        self.crashes = crashes
        self.at_ms = at_ms


class UpstreamRequest:
    """A request that reached an upstream, or what its answer said.

    :param instance: incarnation of the upstream
    :param attempt: id of the attempt
    :param at_ms: time of arrival, or of the answer
    :param said: headers in which the answer speaks of the upstream; empty for
        an arrival
    """

    __slots__ = ("instance", "attempt", "at_ms", "said")

    def __init__(
        self, instance: str, attempt: str, at_ms: int, said: dict[str, str]
    ) -> None:
        self.instance = instance
        self.attempt = attempt
        self.at_ms = at_ms
        self.said = said


class Evacuation:
    """Period in which a zone's servers may get no requests.

    :param zone: the availability zone
    :param began_ms: when the store acknowledged the evacuation

    ``ended_ms`` is when its end was sent, and ``warm_ms`` when its servers
    were no longer cold; both are far in the future while it lasts.
    """

    __slots__ = ("zone", "began_ms", "ended_ms", "warm_ms")

    def __init__(self, zone: str, began_ms: int) -> None:
        self.zone = zone
        self.began_ms = began_ms
        self.ended_ms = 1 << 62
        self.warm_ms = 1 << 62


class FaultWindow:
    """Period in which a fault affected a target.

    :param kind: kind of the fault
    :param target: affected target, such as ``vm-1``; ``store`` affects all VMs
    :param from_ms: start of the fault
    :param to_ms: end of the fault; far in the future while it lasts
    """

    __slots__ = ("kind", "target", "from_ms", "to_ms")

    def __init__(
        self, kind: str, target: str, from_ms: int, to_ms: int
    ) -> None:
        self.kind = kind
        self.target = target
        self.from_ms = from_ms
        self.to_ms = to_ms

    def overlaps(self, from_ms: int, to_ms: int) -> bool:
        """Return whether the fault overlaps a period.

        :param from_ms: start of the period
        :param to_ms: end of the period
        """
        return self.from_ms <= to_ms and from_ms <= self.to_ms


class Shutdown:
    """A VM that was told to stop, and its end.

    :param vm: number of the VM
    :param signalled_ms: time of its first SIGTERM
    :param grace_ms: time after which the platform kills it

    ``ended_ms`` is when its process was gone, far in the future until then,
    and ``status`` its exit status.  ``is_killed`` marks a VM that the platform
    had to kill, ``again_ms`` is the time of a second SIGTERM; 0 without one.
    """

    __slots__ = (
        "vm",
        "signalled_ms",
        "grace_ms",
        "ended_ms",
        "status",
        "is_killed",
        "again_ms",
    )

    def __init__(self, vm: int, signalled_ms: int, grace_ms: int) -> None:
        self.vm = vm
        self.signalled_ms = signalled_ms
        self.grace_ms = grace_ms
        self.ended_ms = 1 << 62
        self.status: int | None = None
        self.is_killed = False
        self.again_ms = 0

    @property
    def due_ms(self) -> int:
        """When the platform kills the VM if it still runs."""
        return self.signalled_ms + self.grace_ms


class Edit:
    """Configuration change that the store has acknowledged.

    :param action: ``give`` (issue a key), ``withdraw`` (revoke a key),
        ``add`` (a route) or ``leave`` (an upstream starts draining)
    :param name: key, path prefix of the route or incarnation of the upstream
    :param at_ms: time of the acknowledgment
    """

    __slots__ = ("action", "name", "at_ms")

    def __init__(self, action: str, name: str, at_ms: int) -> None:
        self.action = action
        self.name = name
        self.at_ms = at_ms


class History:
    """All records that the checks use.

    :param keys: account of each key that was ever issued
    :param vms: number of VMs
    """

    __slots__ = (
        "keys",
        "vms",
        "services",
        "attempts",
        "runs",
        "fault_windows",
        "edits",
        "unexpected_exits",
        "held",
        "arrivals",
        "requests",
        "recovered_ms",
        "zones",
        "evacuations",
        "unregistered_vms",
        "shutdowns",
    )

    def __init__(self, keys: dict[str, str], vms: int) -> None:
        self.keys = keys
        self.vms = vms
        # Service name by incarnation of an upstream.
        self.services: dict[str, str] = {}
        # Availability zone by incarnation, if zones are evacuated.
        self.zones: dict[str, str] = {}
        self.evacuations: list[Evacuation] = []
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        # What engines received, if prompts have parts.
        self.arrivals: list[Arrival] = []
        # What upstreams received and said, if some say what they want.
        self.requests: list[UpstreamRequest] = []
        self.fault_windows: list[FaultWindow] = []
        self.shutdowns: list[Shutdown] = []
        self.edits: list[Edit] = []
        # VMs that exited without being stopped by the test.
        self.unexpected_exits: list[str] = []
        # VMs without an entry in the store at the end.
        self.unregistered_vms: list[str] = []
        # Number of requests and KV caches that engines still hold at the end.
        self.held = 0
        # After this time there are no faults, and all processes have had time
        # to recover.
        self.recovered_ms = 0

    def is_vm_healthy(self, vm: int, from_ms: int, to_ms: int) -> bool:
        """Return whether no fault prevented a VM from working normally.

        :param vm: number of the VM
        :param from_ms: start of the period
        :param to_ms: end of the period
        """
        targets = {
            window.target
            for window in self.fault_windows
            if window.overlaps(from_ms, to_ms)
        }
        if targets & {f"vm-{vm}", f"front-{vm}", "store"}:
            return False
        # A VM that only lacks its connection to the store receives changes
        # from other VMs, if at least one of them reaches the store and has no
        # fault of its own.
        others = set(range(self.vms)) - {vm}
        return f"tie-{vm}" not in targets or any(
            not targets & {f"vm-{other}", f"tie-{other}"} for other in others
        )

    def is_vm_undisturbed(self, vm: int, from_ms: int, to_ms: int) -> bool:
        """Return whether a VM was neither restarted, paused nor cut off.

        :param vm: number of the VM
        :param from_ms: start of the period
        :param to_ms: end of the period
        """
        disturbed = {f"vm-{vm}", f"front-{vm}", f"path-{vm}"}
        return not any(
            (window.target in disturbed or window.kind == "all_kill")
            and window.overlaps(from_ms, to_ms)
            for window in self.fault_windows
        )

    def are_upstreams_healthy(self, from_ms: int, to_ms: int) -> bool:
        """Return whether no upstream had a fault.

        :param from_ms: start of the period
        :param to_ms: end of the period
        """
        return not any(
            window.target.startswith("up-") and window.overlaps(from_ms, to_ms)
            for window in self.fault_windows
        )
