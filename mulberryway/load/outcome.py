"""What a caller got for one call."""

import hashlib
import math
import typing

__all__ = ["Outcome", "compute_percentile"]

FIRST_TOKEN_TARGET_MS = 1_100
TOKEN_GAP_TARGET_MS = 63
GAP_PERCENTILE = 0.95


def compute_percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank.

    :param values: the values in any order
    :param share: from 0 to 1
    :returns: the value, or 0 of none
    """
    if not values:
        return 0.0
    rank = math.ceil(share * len(values))
    return sorted(values)[max(rank, 1) - 1]


class Outcome:
    """One call's end as its caller saw it; times in milliseconds.

    :param number: the call's number in its plan
    :param account: the client account
    :param kind: ``stream``, ``whole`` or ``plain``
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
        # The code of a refusal or of a cut; ``connection`` if no answer came.
        self.code = ""
        self.run = ""
        self.step = ""
        self.attempts = 0
        self.began_ms = 0.0
        self.first_ms = 0.0
        self.took_ms = 0.0
        self.gaps_ms: list[float] = []
        # Arrival less the engine's own stamp, where events carry one.
        self.lags_ms: list[float] = []
        self.tokens = 0
        self.is_whole = False
        self.in_order = True
        self.text = ""
        self.key = ""

    def meets_targets(self) -> bool:
        """Tell whether the call met both latency targets in full."""
        if not self.is_whole or self.kind != "stream":
            return False
        gap_ms = compute_percentile(self.gaps_ms, GAP_PERCENTILE)
        return (
            self.first_ms <= FIRST_TOKEN_TARGET_MS
            and gap_ms <= TOKEN_GAP_TARGET_MS
        )

    def record_error(self, error: dict[str, typing.Any]) -> None:
        """Take over an error answer.

        :param error: the ``error`` object
        """
        self.code = str(error.get("code", ""))
        self.run = str(error.get("run", ""))
        self.step = str(error.get("step", ""))

    def to_json(self) -> dict[str, typing.Any]:
        """Return the record, the text as a digest."""
        record = {
            name: getattr(self, name)
            for name in self.__slots__
            if name not in ("gaps_ms", "lags_ms", "text")
        }
        record["gap_p95_ms"] = compute_percentile(self.gaps_ms, GAP_PERCENTILE)
        record["gap_max_ms"] = max(self.gaps_ms, default=0.0)
        record["text_sha256"] = hashlib.sha256(self.text.encode()).hexdigest()
        return record
