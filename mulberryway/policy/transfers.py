"""Estimates KV cache transfer times on shared links; best effort."""

__all__ = ["TransferLinks", "compute_carry_ms"]

MS_IN_S = 1_000


class TransferLinks:
    """Tracks the transfers that this router plans on links between zones.

    A prefill's result expires in less than a second, and is lost if it waits
    longer for a busy link.  So the choice of a decode upstream considers the
    transfers that already wait for the link.
    """

    def __init__(self) -> None:
        self._busy_until_ms: dict[tuple[str, str], float] = {}

    def estimate_ms(
        self, zones: tuple[str, str], bytes_: int, rate: int, ready_ms: float
    ) -> float:
        """Return the estimated duration of a transfer with its wait.

        :param zones: the source and the target zone
        :param bytes_: size of the KV cache
        :param rate: the link's rate in bytes per second
        :param ready_ms: earliest start of the transfer
        :returns: the duration in milliseconds
        """
        busy_ms = self._busy_until_ms.get(zones, 0.0)
        return max(busy_ms - ready_ms, 0.0) + compute_carry_ms(bytes_, rate)

    def reserve(
        self, zones: tuple[str, str], bytes_: int, rate: int, ready_ms: float
    ) -> None:
        """Reserve link time for a planned transfer.

        :param zones: the source and the target zone
        :param bytes_: size of the KV cache
        :param rate: the link's rate in bytes per second
        :param ready_ms: earliest start of the transfer
        """
        begin_ms = max(self._busy_until_ms.get(zones, 0.0), ready_ms)
        self._busy_until_ms[zones] = begin_ms + compute_carry_ms(bytes_, rate)


def compute_carry_ms(bytes_: int, rate: int) -> float:
    """Return the duration of a transfer on an idle link.

    :param bytes_: size of the KV cache
    :param rate: the link's rate in bytes per second
    :returns: the duration in milliseconds
    """
    return bytes_ * MS_IN_S / max(rate, 1)
