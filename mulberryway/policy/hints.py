"""Notes that routers exchange, so that they do not choose the same slots.

A note may be late, lost or duplicated. Gauges replace older ones, and running
sums only grow. Short-lived values are sent as the amount since the last note:
in a large fleet most notes are the first that a VM receives from another one
on an upstream, and a running sum alone would not show the recent part.
"""

from mulberryway.policy import health

__all__ = ["AccountNote", "Death", "Holding", "Note", "RankNote"]


class Holding:
    """In-flight load and outcomes of one router on one upstream.

    :param pool: the pool's name
    :param upstream: the upstream's name
    :param decodes: number of decode slots in use
    :param prefill_ms: prefill work started since the last note on the
        upstream, as estimated milliseconds
    :param suspects: number of crash suspects that run there now
    :param blocks: KV cache blocks used by its decodes
    :param step_ms: mean inter-token gap of its streams in ms; 0 if there was
        none recently
    :param outcomes: outcomes of its requests and probes since its last note on
        the upstream
    :param present_blocks: KV cache blocks that its decodes fill now; none if
        the sender does not tell
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
        "present_blocks",
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
        present_blocks: int | None = None,
    ) -> None:
        self.present_blocks = present_blocks
        self.outcomes = outcomes or health.Outcomes()
        self.pool = pool
        self.upstream = upstream
        self.decodes = decodes
        self.prefill_ms = prefill_ms
        self.suspects = suspects
        self.blocks = blocks
        self.step_ms = step_ms


class AccountNote:
    """Usage and waiting jobs of one client account at one router.

    :param pool: the pool's name
    :param account: the client account's name
    :param weight: the account's weight
    :param charged: tokens charged since the router started, less refunds; a
        running sum
    :param waiting: number of waiting jobs
    :param oldest_ms: how long the oldest of them has waited, in ms
    :param prefill_ms: uncontended prefill time of that job, in ms
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


class RankNote:
    """Waiting jobs of one rank at one router.

    :param pool: the pool's name
    :param rank: the rank; 0 is the highest
    :param waiting: number of waiting jobs
    :param oldest_ms: how long the oldest of them has waited, in ms
    """

    __slots__ = ("pool", "rank", "waiting", "oldest_ms")

    def __init__(
        self, pool: str, rank: int, waiting: int, oldest_ms: int
    ) -> None:
        self.pool = pool
        self.rank = rank
        self.waiting = waiting
        self.oldest_ms = oldest_ms


class Death:
    """A crash of an upstream under a request, or the request's clearance.

    :param digest: digest of account, model and body, or the key of a part of
        the prompt, see ``policy.part_quarantine``
    :param upstream: ``pool/name`` of the upstream; empty if cleared
    :param age_ms: time since the crash, by the sender's clock
    :param proven: whether the request ran as a suspect and no other suspect
        was known to run there
    """

    __slots__ = ("digest", "upstream", "age_ms", "proven", "is_repeated")

    def __init__(
        self, digest: str, upstream: str, age_ms: int, proven: bool
    ) -> None:
        # Whether it was sent before, to all VMs of that time; not sent.
        self.is_repeated = False
        self.digest = digest
        self.upstream = upstream
        self.age_ms = age_ms
        self.proven = proven


class Note:
    """One router's message to its peers.

    :param vm: the sender's VM
    :param incarnation: the sender's incarnation; counters restart with it
    :param sequence: increases with each note; older notes are ignored
    :param holdings: upstreams whose state changed
    :param accounts: accounts whose state changed or that have waiting jobs
    :param deaths: updates on suspected poison requests
    :param ranks: waiting jobs by rank, of pools whose ranks differ
    """

    __slots__ = (
        "vm",
        "incarnation",
        "sequence",
        "holdings",
        "accounts",
        "deaths",
        "ranks",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        sequence: int,
        holdings: list[Holding],
        accounts: list[AccountNote],
        deaths: list[Death],
        ranks: list[RankNote] | None = None,
    ) -> None:
        self.ranks = ranks or []
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.holdings = holdings
        self.accounts = accounts
        self.deaths = deaths

    @property
    def is_heartbeat(self) -> bool:
        """Whether it only shows that its sender is alive."""
        return not (
            self.holdings or self.accounts or self.deaths or self.ranks
        )
