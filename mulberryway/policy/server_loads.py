"""Calls to servers of plain services, as VMs report them to one another."""

__all__ = ["ServerLoad", "ServerLoadReport"]


class ServerLoad:
    """One VM's calls to one server.

    The counts are those since the sender's last report on this server.

    :param pool: the pool's name
    :param server: the server's name; empty for the sender's own refusals of
        calls to the pool, which count as rejected
    :param in_flight: calls that were sent and are not answered yet
    :param completed: calls that were answered
    :param rejected: calls that the server turned away without running them
    :param busy_ms: sum of the completed calls' durations, in milliseconds
    """

    __slots__ = (
        "pool",
        "server",
        "in_flight",
        "completed",
        "rejected",
        "busy_ms",
    )

    def __init__(
        self,
        pool: str,
        server: str,
        in_flight: int,
        completed: int = 0,
        rejected: int = 0,
        busy_ms: int = 0,
    ) -> None:
        self.pool = pool
        self.server = server
        self.in_flight = in_flight
        self.completed = completed
        self.rejected = rejected
        self.busy_ms = busy_ms


class ServerLoadReport:
    """One VM's calls to the servers whose state has changed.

    :param vm: the sender's VM
    :param incarnation: the sender's incarnation; its counts restart with it
    :param sequence: increases with each report
    :param loads: the changed servers
    """

    __slots__ = ("vm", "incarnation", "sequence", "loads")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        sequence: int,
        loads: list[ServerLoad],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.loads = loads
