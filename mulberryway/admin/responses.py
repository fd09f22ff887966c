"""The responses of the administration API."""

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
    """A response whose attributes are the fields of its JSON object."""

    __slots__ = ()

    def encode(self) -> dict[str, typing.Any]:
        """Return JSON values by attribute name."""
        return {name: _encode(getattr(self, name)) for name in self.__slots__}


def _encode(value: typing.Any) -> typing.Any:
    if isinstance(value, Response):
        return value.encode()
    if isinstance(value, list):
        return [_encode(item) for item in value]
    return value


class TablesResponse(Response):
    """The accepted tables.

    :param revision: the revision of the tables
    :param text: the tables as TOML, without the credentials of pools
    :param digests: digests of rows by ``table.name``, for preconditions
    """

    __slots__ = ("revision", "text", "digests")

    def __init__(
        self, revision: int, text: str, digests: dict[str, str]
    ) -> None:
        self.revision = revision
        self.text = text
        self.digests = digests


class DiffResponse(Response):
    """The differences between given tables and the accepted ones.

    :param revision: the accepted revision
    :param lines: one line for each difference
    """

    __slots__ = ("revision", "lines")

    def __init__(self, revision: int, lines: list[str]) -> None:
        self.revision = revision
        self.lines = lines


class EditResponse(Response):
    """An accepted edit, which is not necessarily in force yet.

    :param edit_id: the edit's id
    :param revision: the revision that the edit created
    """

    __slots__ = ("edit_id", "revision")

    def __init__(self, edit_id: str, revision: int) -> None:
        self.edit_id = edit_id
        self.revision = revision


class KeyResponse(Response):
    """A new key, which is returned only in this response.

    :param edit_id: the edit's id
    :param revision: the first revision in which the key is valid
    :param account: the client account
    :param key: the key
    :param digest: the key's digest; its first eight digits identify the key
        when it is revoked
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
    """Past edits, newest last.

    :param edits: revision, id, operator, time and summary of each edit
    """

    __slots__ = ("edits",)

    def __init__(self, edits: list[dict[str, typing.Any]]) -> None:
        self.edits = edits


class VmState(Response):
    """The state of the tables on a VM.

    :param name: the VM's name
    :param zone: its availability zone
    :param is_reached: whether the VM responded
    :param revision: the revision in force on the VM; 0 if it has no tables
    :param age_ms: the time since the platform last confirmed the revision,
        in ms; -1 if it never did
    :param is_serving: whether the VM serves requests with these tables
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
    """The progress of a revision towards being in force on all VMs.

    :param revision: the revision
    :param is_in_force: whether no VM serves with older tables: each VM has
        the revision, or has been unreachable for so long that it rejects
        requests
    :param waiting_for: names of VMs that may still serve with older tables
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
    """The state of VMs, pools and client accounts.

    :param revision: the accepted revision
    :param vms: each VM's state
    :param pools: kind, models and upstreams of each pool, by pool name
    :param accounts: rate, burst, weight and key digests of each account, by
        account name
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
