"""Hints that routers tell one another so as not to choose the same slot.

A note may be late, lost or repeated.  Gauges replace older ones, and running
sums only grow.  What matters for a second or so goes as the amount since the
last note: in a large fleet a VM hears of most upstreams from most others for
the first time, so a running sum would say nothing of what has come just now.
"""

from mulberryway.policy import health

__all__ = ["AccountNote", "Death", "Holding", "Note"]


class Holding:
    """What one router has on one upstream.

    :param pool: the pool's name
    :param upstream: the upstream's name
    :param decodes: decode slots that it holds now
    :param prefill_ms: prefill work given to it since the last note about the
        upstream, in estimated milliseconds
    :param suspects: suspects of a crash that run there now
    :param blocks: KV cache blocks that its decodes take
    :param step_ms: the mean time between tokens that its streams see there;
        0 if it has seen none of late
    :param outcomes: how its requests and probes there ended since its last
        note about the upstream
    """

    __slots__ = (
        "pool",
        "upstream",
        "decodes",
        "prefill_ms",
        "suspects",
        "blocks",
        "step_ms",
        "outcomes",
    )

    def __init__(
        self,
        pool: str,
        upstream: str,
        decodes: int,
        prefill_ms: int,
        suspects: int = 0,
        blocks: int = 0,
        step_ms: int = 0,
        outcomes: health.Outcomes | None = None,
    ) -> None:
        self.outcomes = outcomes or health.Outcomes()
        self.pool = pool
        self.upstream = upstream
        self.decodes = decodes
        self.prefill_ms = prefill_ms
        self.suspects = suspects
        self.blocks = blocks
        self.step_ms = step_ms


class AccountNote:
    """What one router did, and has waiting, for one client account.

    :param pool: the pool's name
    :param account: the client account's name
    :param weight: the account's weight
    :param charged: tokens charged since the router began, less what was
        given back; a running sum
    :param waiting: jobs that wait now
    :param oldest_ms: for how long the oldest of them has waited
    :param prefill_ms: how long the prefill of that one takes by itself
    """

    __slots__ = (
        "pool",
        "account",
        "weight",
        "charged",
        "waiting",
        "oldest_ms",
        "prefill_ms",
    )

    def __init__(
        self,
        pool: str,
        account: str,
        weight: int,
        charged: int,
        waiting: int,
        oldest_ms: int = 0,
        prefill_ms: int = 0,
    ) -> None:
        self.pool = pool
        self.account = account
        self.weight = weight
        self.charged = charged
        self.waiting = waiting
        self.oldest_ms = oldest_ms
        self.prefill_ms = prefill_ms


class Death:
    """An upstream died under a request, or the request was cleared.

    :param digest: names account, model and body
    :param upstream: ``pool/name`` of the upstream; empty if cleared
    :param age_ms: how long ago, by the sender's clock
    :param proven: the request ran as a suspect, and no other suspect was
        known to run there
    """

    __slots__ = ("digest", "upstream", "age_ms", "proven")

    def __init__(
        self, digest: str, upstream: str, age_ms: int, proven: bool
    ) -> None:
        self.digest = digest
        self.upstream = upstream
        self.age_ms = age_ms
        self.proven = proven


class Note:
    """One router's hints to another.

    :param vm: the sender's VM
    :param incarnation: which life of it; counters begin anew with each
    :param sequence: grows with each note; an older one is dropped
    :param holdings: upstreams where something changed
    :param accounts: accounts where something changed or something waits
    :param deaths: news about requests that may be poison
    """

    __slots__ = (
        "vm",
        "incarnation",
        "sequence",
        "holdings",
        "accounts",
        "deaths",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        sequence: int,
        holdings: list[Holding],
        accounts: list[AccountNote],
        deaths: list[Death],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.holdings = holdings
        self.accounts = accounts
        self.deaths = deaths

    @property
    def is_heartbeat(self) -> bool:
        """Whether it only tells that its sender lives."""
        return not (self.holdings or self.accounts or self.deaths)
