"""What the administration API answers."""

import typing

__all__ = [
    "Response",
    "EditResponse",
    "RolloutResponse",
    "HistoryResponse",
    "KeyResponse",
    "DiffResponse",
    "StatusResponse",
    "TablesResponse",
    "VmState",
]


class Response:
    """An answer whose attributes are its JSON form."""

    __slots__ = ()

    def encode(self) -> dict[str, typing.Any]:
        """Return plain values by attribute."""
        return {name: _encode(getattr(self, name)) for name in self.__slots__}


def _encode(value: typing.Any) -> typing.Any:
    if isinstance(value, Response):
        return value.encode()
    if isinstance(value, list):
        return [_encode(item) for item in value]
    return value


class TablesResponse(Response):
    """The accepted tables.

    :param revision: their revision
    :param text: TOML text; a pool's credential is hidden
    :param digests: each row's digest by ``table.name``, for preconditions
    """

    __slots__ = ("revision", "text", "digests")

    def __init__(
        self, revision: int, text: str, digests: dict[str, str]
    ) -> None:
        self.revision = revision
        self.text = text
        self.digests = digests


class DiffResponse(Response):
    """What a text of tables would change.

    :param revision: the revision that it was compared with
    :param lines: one for each difference
    """

    __slots__ = ("revision", "lines")

    def __init__(self, revision: int, lines: list[str]) -> None:
        self.revision = revision
        self.lines = lines


class EditResponse(Response):
    """An edit that the platform holds; see ``in_force`` for the rest.

    :param edit_id: the edit's own id
    :param revision: the revision that it made
    """

    __slots__ = ("edit_id", "revision")

    def __init__(self, edit_id: str, revision: int) -> None:
        self.edit_id = edit_id
        self.revision = revision


class KeyResponse(Response):
    """A new key, which is shown this once.

    :param edit_id: the edit's own id
    :param revision: the revision from which on it works
    :param account: the client account
    :param key: the key
    :param digest: its digest, of which eight digits withdraw it
    """

    __slots__ = ("edit_id", "revision", "account", "key", "digest")

    def __init__(
        self, edit_id: str, revision: int, account: str, key: str, digest: str
    ) -> None:
        self.edit_id = edit_id
        self.revision = revision
        self.account = account
        self.key = key
        self.digest = digest


class HistoryResponse(Response):
    """Past edits, the newest last.

    :param edits: revision, id, operator, time and summary of each
    """

    __slots__ = ("edits",)

    def __init__(self, edits: list[dict[str, typing.Any]]) -> None:
        self.edits = edits


class VmState(Response):
    """The tables that a VM has.

    :param name: the VM's name
    :param zone: its availability zone
    :param is_reached: whether it answered
    :param revision: the revision that it has; 0 if it has none
    :param age_ms: since when the platform has not confirmed it; -1: never
    :param is_serving: whether it takes requests with it
    """

    __slots__ = (
        "name",
        "zone",
        "is_reached",
        "revision",
        "age_ms",
        "is_serving",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        is_reached: bool,
        revision: int = 0,
        age_ms: int = -1,
        is_serving: bool = False,
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_reached = is_reached
        self.revision = revision
        self.age_ms = age_ms
        self.is_serving = is_serving


class RolloutResponse(Response):
    """How far a revision has come.

    :param revision: the revision
    :param is_in_force: no VM serves with older tables: each VM has it, or
        has been out of reach for so long that it refuses
    :param waiting_for: names of VMs that may serve with older tables
    :param vms: each VM's state
    """

    __slots__ = ("revision", "is_in_force", "waiting_for", "vms")

    def __init__(
        self,
        revision: int,
        is_in_force: bool,
        waiting_for: list[str],
        vms: list[VmState],
    ) -> None:
        self.revision = revision
        self.is_in_force = is_in_force
        self.waiting_for = waiting_for
        self.vms = vms


class StatusResponse(Response):
    """VMs, pools and client accounts.

    :param revision: the accepted revision
    :param vms: each VM's state
    :param pools: kind, models and upstreams of each pool by name
    :param accounts: rate, burst, weight and number of keys by name
    """

    __slots__ = ("revision", "vms", "pools", "accounts")

    def __init__(
        self,
        revision: int,
        vms: list[VmState],
        pools: dict[str, dict[str, typing.Any]],
        accounts: dict[str, dict[str, typing.Any]],
    ) -> None:
        self.revision = revision
        self.vms = vms
        self.pools = pools
        self.accounts = accounts
