"""What callers sent and got, what upstreams ran, and when what went wrong.

All times are milliseconds of the machine's steady clock, which all processes
of one machine share.
"""

import enum

__all__ = ["Attempt", "Edit", "History", "RequestKind", "Run", "FaultWindow"]


class RequestKind(enum.Enum):
    """The kinds of request, with the prefix of their routes."""

    PLAIN = "plain"
    NON_IDEMPOTENT = "book"
    SINGLE_RUN_STREAM = "talk"
    RESUMABLE_STREAM = "digest"
    ADDED_ROUTE = "late"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (
            RequestKind.SINGLE_RUN_STREAM,
            RequestKind.RESUMABLE_STREAM,
        )

    @property
    def max_runs(self) -> int:
        """How often one attempt may run."""
        return (
            1
            if self
            in (RequestKind.NON_IDEMPOTENT, RequestKind.SINGLE_RUN_STREAM)
            else 2
        )

    @property
    def service(self) -> str:
        """The service that its route leads to."""
        return "llm" if self.is_stream else "app"


class Attempt:
    """One attempt of a caller and what came of it.

    :param name: its id, which nobody else uses
    :param kind: what it asks for
    :param key: the key that it carries
    :param vm: the number of the VM that it went to
    :param began_ms: when it was sent

    ``status`` is 0 where no answer came; ``is_cut`` tells an answer that
    ended early, ``has_disconnected`` a caller that did not wait for it.
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


class Run:
    """One run at an upstream, as the upstream wrote it down.

    :param attempt: the attempt's id
    :param instance: the upstream's incarnation
    :param account: the client account that it was told
    :param at_ms: when it began
    :param seal: what the answer is signed with
    :param text: the request's line and headers
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


class FaultWindow:
    """A time in which a fault befell something.

    :param kind: the fault
    :param target: what it befell, such as ``vm-1``; ``store`` for all VMs
    :param from_ms: its beginning
    :param to_ms: its end; the history's end while it lasts
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
        """Tell whether it overlaps a time.

        :param from_ms: the time's beginning
        :param to_ms: its end
        """
        return self.from_ms <= to_ms and from_ms <= self.to_ms


class Edit:
    """A change that the store has acknowledged.

    :param action: ``give`` or ``withdraw`` a key, ``add`` a route, or
        ``leave`` of an upstream
    :param name: the key, the route's prefix or the upstream's incarnation
    :param at_ms: when it was acknowledged
    """

    __slots__ = ("action", "name", "at_ms")

    def __init__(self, action: str, name: str, at_ms: int) -> None:
        self.action = action
        self.name = name
        self.at_ms = at_ms


class History:
    """Everything that the checks look at.

    :param keys: the account of each key that was ever given
    :param vms: how many VMs there are
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
        "recovered_ms",
    )

    def __init__(self, keys: dict[str, str], vms: int) -> None:
        self.keys = keys
        self.vms = vms
        # The service of each incarnation of an upstream.
        self.services: dict[str, str] = {}
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.fault_windows: list[FaultWindow] = []
        self.edits: list[Edit] = []
        # VMs that ended though nobody had told them to.
        self.unexpected_exits: list[str] = []
        # Runs and KV caches that engines still hold at the end.
        self.held = 0
        # From here on nothing goes wrong any more, and all have had time
        # to recover.
        self.recovered_ms = 0

    def is_vm_healthy(self, vm: int, from_ms: int, to_ms: int) -> bool:
        """Tell whether a VM was left alone by faults of its own.

        :param vm: its number
        :param from_ms: from when on
        :param to_ms: until when
        """
        targets = {
            window.target
            for window in self.fault_windows
            if window.overlaps(from_ms, to_ms)
        }
        if targets & {f"vm-{vm}", f"front-{vm}", "store"}:
            return False
        # A VM that the store alone turns away hears of changes from others,
        # if there is one that neither the store nor a fault keeps from it.
        others = set(range(self.vms)) - {vm}
        return f"tie-{vm}" not in targets or any(
            not targets & {f"vm-{other}", f"tie-{other}"} for other in others
        )

    def are_upstreams_healthy(self, from_ms: int, to_ms: int) -> bool:
        """Tell whether no upstream had a fault.

        :param from_ms: from when on
        :param to_ms: until when
        """
        return not any(
            window.target.startswith("up-") and window.overlaps(from_ms, to_ms)
            for window in self.fault_windows
        )
