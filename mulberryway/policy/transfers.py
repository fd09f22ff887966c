"""How long a KV cache takes over links that transfers share; a hint."""

__all__ = ["TransferLinks"]

MS_IN_S = 1_000


class TransferLinks:
    """Links between zones, each with the work that we have put on it.

    A prefill's result lives under a second, and is lost if it waits for a
    busy link for longer.  So the choice of a decode upstream counts what
    already waits for the link.
    """

    def __init__(self) -> None:
        self._busy_until_ms: dict[tuple[str, str], float] = {}

    def estimate_ms(
        self, zones: tuple[str, str], bytes_: int, rate: int, ready_ms: float
    ) -> float:
        """Return how long a transfer would take, its wait included.

        :param zones: from which zone to which
        :param bytes_: size of the KV cache
        :param rate: the link's rate in bytes a second
        :param ready_ms: when the transfer can begin
        :returns: milliseconds
        """
        busy_ms = self._busy_until_ms.get(zones, 0.0)
        return max(busy_ms - ready_ms, 0.0) + _carry_ms(bytes_, rate)

    def reserve(
        self, zones: tuple[str, str], bytes_: int, rate: int, ready_ms: float
    ) -> None:
        """Count a transfer that will be made.

        :param zones: from which zone to which
        :param bytes_: size of the KV cache
        :param rate: the link's rate in bytes a second
        :param ready_ms: when the transfer can begin
        """
        begin_ms = max(self._busy_until_ms.get(zones, 0.0), ready_ms)
        self._busy_until_ms[zones] = begin_ms + _carry_ms(bytes_, rate)


def _carry_ms(bytes_: int, rate: int) -> float:
    return bytes_ * MS_IN_S / max(rate, 1)
