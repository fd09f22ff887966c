"""The outcome of a call, as its caller observed it."""

import hashlib
import math
import typing

__all__ = ["Outcome", "compute_percentile"]

FIRST_TOKEN_TARGET_MS = 1_100
TOKEN_GAP_TARGET_MS = 63
GAP_PERCENTILE = 0.95


def compute_percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method.

    :param values: the values, in any order
    :param fraction: the percentile as a fraction from 0 to 1
    :returns: the percentile, or 0 if there are no values
    """
    if not values:
        return 0.0
    rank = math.ceil(fraction * len(values))
    return sorted(values)[max(rank, 1) - 1]


class Outcome:
    """The outcome of one call; all times are in ms.

    :param number: the call's number in its plan
    :param account: the client account
    :param kind: ``stream``, ``whole`` for a completion in one response, or
        ``plain``
    """

    __slots__ = (
        "number",
        "account",
        "kind",
        "address",
        "status",
        "code",
        "run",
        "step",
        "attempts",
        "began_ms",
        "first_ms",
        "took_ms",
        "gaps_ms",
        "lags_ms",
        "tokens",
        "is_whole",
        "in_order",
        "text",
        "key",
    )

    def __init__(self, number: int, account: str, kind: str) -> None:
        self.number = number
        self.account = account
        self.kind = kind
        self.address = ""
        self.status = 0
        # Error code of a rejection or of an interrupted stream; ``connection``
        # if there was no response.
        self.code = ""
        self.run = ""
        self.step = ""
        self.attempts = 0
        self.began_ms = 0.0
        self.first_ms = 0.0
        self.took_ms = 0.0
        self.gaps_ms: list[float] = []
        # Arrival time minus the engine's timestamp, for events that have one.
        self.lags_ms: list[float] = []
        self.tokens = 0
        self.is_whole = False
        self.in_order = True
        self.text = ""
        self.key = ""

    def meets_targets(self) -> bool:
        """Return whether the stream is complete and met both targets."""
        if not self.is_whole or self.kind != "stream":
            return False
        gap_ms = compute_percentile(self.gaps_ms, GAP_PERCENTILE)
        return (
            self.first_ms <= FIRST_TOKEN_TARGET_MS
            and gap_ms <= TOKEN_GAP_TARGET_MS
        )

    def record_error(self, error: dict[str, typing.Any]) -> None:
        """Copy the fields of an error response.

        :param error: the ``error`` object of the response
        """
        self.code = str(error.get("code", ""))
        self.run = str(error.get("run", ""))
        self.step = str(error.get("step", ""))

    def to_json(self) -> dict[str, typing.Any]:
        """Return the outcome as JSON values, with the text as a digest."""
        record = {
            name: getattr(self, name)
            for name in self.__slots__
            if name not in ("gaps_ms", "lags_ms", "text")
        }
        record["gap_p95_ms"] = compute_percentile(self.gaps_ms, GAP_PERCENTILE)
        record["gap_max_ms"] = max(self.gaps_ms, default=0.0)
        record["text_sha256"] = hashlib.sha256(self.text.encode()).hexdigest()
        return record
