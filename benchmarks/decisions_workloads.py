"""Seeded workloads for benchmarks.decisions, equal for every scheduler."""

import bisect
import itertools
import math
import random

__all__ = [
    "DEPLOYMENTS",
    "WORKLOADS",
    "Arrival",
    "Deployment",
    "Workload",
    "generate_arrivals",
]

TOKEN_MS = 37.0
OUTPUT_MEDIAN = 220
OUTPUT_SIGMA = 0.75
OUTPUT_LIMITS = (10, 1_500)
PROMPT_MEDIAN = 450
PROMPT_SIGMA = 1.25
PROMPT_LIMITS = (30, 9_000)
MAX_TOKENS = 2_048
BLOCK_TOKENS = 1_024
BYTES_PER_TOKEN = 4
# Fraction of the requests that continue a session, such as a station's or a
# crew's log: each prompt of a session extends the previous one.
SESSION_FRACTION = 0.3
SESSIONS = 12
SESSION_LIMIT = 24_000
WINDOW_MS = 30_000


class Deployment:
    """Size and fairness mode of one deployment's model pool.

    :param name: the deployment's name
    :param prefills: number of prefill engines
    :param decodes: number of decode engines
    :param zones: its availability zones
    :param weighing: its fairness mode
    """

    __slots__ = ("name", "prefills", "decodes", "zones", "weighing")

    def __init__(
        self,
        name: str,
        prefills: int,
        decodes: int,
        zones: tuple[str, ...],
        weighing: str,
    ) -> None:
        self.name = name
        self.prefills = prefills
        self.decodes = decodes
        self.zones = zones
        self.weighing = weighing

    def read_request_rate(self) -> float:
        """Return the requests per second that saturate the decode slots."""
        mean = OUTPUT_MEDIAN * math.exp(OUTPUT_SIGMA**2 / 2)
        return self.decodes * 20 * 1_000 / TOKEN_MS / mean


DEPLOYMENTS = (
    Deployment(
        "kandurata", 2, 4, ("kandy-a", "matale-b", "nuwara-c"), "worst_served"
    ),
    Deployment("phewa", 2, 5, ("pokhara", "begnas", "rupa"), "goodput"),
)


class Workload:
    """Parameters of one workload.

    :param name: its name in the results
    :param factor: mean demand as a fraction of the decode slots' capacity
    :param shares: each account's fraction of the demand
    :param bursts: whether five of every twenty seconds have 2.8 times the
        demand of the others
    :param slow: whether one decode engine runs at less than half its speed
    :param long_part: fraction of the prompts with 4,000 to 9,000 tokens
    :param has_vm_affinity: whether an account's callers all use the same VM
        during each window of ``WINDOW_MS``
    """

    __slots__ = (
        "name",
        "factor",
        "shares",
        "bursts",
        "slow",
        "long_part",
        "has_vm_affinity",
    )

    def __init__(
        self,
        name: str,
        factor: float,
        shares: tuple[float, ...] = (0.4, 0.3, 0.2, 0.06, 0.04),
        bursts: bool = False,
        slow: bool = False,
        long_part: float = 0.0,
        has_vm_affinity: bool = False,
    ) -> None:
        self.name = name
        self.factor = factor
        self.shares = shares
        self.bursts = bursts
        self.slow = slow
        self.long_part = long_part
        self.has_vm_affinity = has_vm_affinity


WORKLOADS = (
    Workload("below", 0.7),
    Workload("saturation", 1.0),
    Workload("bursts", 0.75, bursts=True),
    Workload(
        "skewed", 1.3, (0.7, 0.12, 0.1, 0.05, 0.03), has_vm_affinity=True
    ),
    Workload("slow upstream", 0.6, slow=True),
    Workload("long and short", 0.75, long_part=0.15),
    Workload("1.5 saturation", 1.5),
)


class Arrival:
    """One request as a caller sends it.

    :param number: unique, in order of arrival
    :param at_ms: simulated arrival time in ms
    :param account: the client account
    :param router: position of the VM used, from 0 to 1 over all VMs
    :param prompt_tokens: length of the prompt in tokens
    :param output_tokens: length of the response in tokens, unknown to the
        router
    :param hashes: hashes of the prompt's blocks
    """

    __slots__ = (
        "number",
        "at_ms",
        "account",
        "router",
        "prompt_tokens",
        "output_tokens",
        "hashes",
    )

    def __init__(
        self,
        number: int,
        at_ms: float,
        account: str,
        router: float,
        prompt_tokens: int,
        output_tokens: int,
        hashes: tuple[str, ...],
    ) -> None:
        self.number = number
        self.at_ms = at_ms
        self.account = account
        self.router = router
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.hashes = hashes


class _Session:
    """A session, whose prompts share a growing prefix."""

    __slots__ = ("name", "tokens")

    def __init__(self, name: str) -> None:
        self.name = name
        self.tokens = 0


def generate_arrivals(
    deployment: Deployment, load: Workload, length_ms: int, seed: int
) -> list[Arrival]:
    """Generate all arrivals of one workload.

    :param deployment: the deployment
    :param load: the workload
    :param length_ms: duration of the arrivals in ms
    :param seed: seed of the random generator
    :returns: arrivals ordered by time
    """
    random_ = random.Random(f"{deployment.name}/{load.name}/{seed}")
    rate = deployment.read_request_rate() * load.factor / 1_000
    generator = _ArrivalGenerator(load, random_)
    arrivals = []
    at_ms = 0.0
    while True:
        at_ms += random_.expovariate(rate * _compute_burst_factor(load, at_ms))
        if at_ms >= length_ms:
            return arrivals
        arrivals.append(generator.make(len(arrivals), at_ms))


def _compute_burst_factor(load: Workload, at_ms: float) -> float:
    if not load.bursts:
        return 1.0
    # 5 s of every 20 s have 2.8 times the base rate; the mean factor is 1.
    base = 20 / (5 * 2.8 + 15)
    return base * 2.8 if at_ms % 20_000 < 5_000 else base


def _clip_lognormal(
    random_: random.Random,
    median: float,
    sigma: float,
    limits: tuple[int, int],
) -> int:
    drawn = median * math.exp(random_.gauss(0, sigma))
    return int(min(max(drawn, limits[0]), limits[1]))


class _ArrivalGenerator:
    """Generates the requests of one workload."""

    def __init__(self, load: Workload, random_: random.Random) -> None:
        self._load = load
        self._random = random_
        self._bounds = list(itertools.accumulate(load.shares))
        self._sessions: dict[str, list[_Session]] = {}
        self._numbers = itertools.count()

    def make(self, number: int, at_ms: float) -> Arrival:
        """Generate one request.

        :param number: the request's number
        :param at_ms: simulated arrival time in ms
        :returns: the request
        """
        random_ = self._random
        index = bisect.bisect(self._bounds, random_.random())
        account = f"account{min(index, len(self._bounds) - 1)}"
        router = random_.random()
        if self._load.has_vm_affinity:
            window = int(at_ms // WINDOW_MS)
            router = random.Random(f"{account}/{window}").random()
        output = _clip_lognormal(
            random_, OUTPUT_MEDIAN, OUTPUT_SIGMA, OUTPUT_LIMITS
        )
        prompt, hashes = self._draw_prompt(account)
        return Arrival(number, at_ms, account, router, prompt, output, hashes)

    def _draw_prompt(self, account: str) -> tuple[int, tuple[str, ...]]:
        random_ = self._random
        if random_.random() < self._load.long_part:
            return self._make_block_names(
                random_.randint(4_000, 9_000), self._make_name()
            )
        if random_.random() < SESSION_FRACTION:
            return self._grow_session(account)
        tokens = _clip_lognormal(
            random_, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_LIMITS
        )
        return self._make_block_names(tokens, self._make_name())

    def _grow_session(self, account: str) -> tuple[int, tuple[str, ...]]:
        sessions = self._sessions.setdefault(
            account, [_Session(self._make_name()) for _ in range(SESSIONS)]
        )
        index = self._random.randrange(len(sessions))
        session = sessions[index]
        session.tokens += self._random.randint(300, 2_500)
        if session.tokens > SESSION_LIMIT:
            session = sessions[index] = _Session(self._make_name())
            session.tokens = self._random.randint(300, 2_500)
        return self._make_block_names(session.tokens, session.name)

    def _make_name(self) -> str:
        return f"s{next(self._numbers)}"

    @staticmethod
    def _make_block_names(
        tokens: int, name: str
    ) -> tuple[int, tuple[str, ...]]:
        blocks = tokens // BLOCK_TOKENS
        return tokens, tuple(f"{name}.{block}" for block in range(blocks))
