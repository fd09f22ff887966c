"""What callers send: a seeded plan, read from a TOML file and checked."""

import itertools
import pathlib
import random
import tomllib
import typing

from mulberryway import errors

__all__ = [
    "ClientProfile",
    "LoadPlan",
    "PlannedCall",
    "plan_calls",
    "read_plan",
]

BYTES_PER_TOKEN = 4
WORDS = ("fix", "base", "drift", "net", "pen", "log", "crew", "dive")


class ClientProfile:
    """One sort of call that a client account makes.

    :param account: the client account, for the report
    :param key: its key
    :param kind: ``stream``, ``whole`` or ``plain``
    :param rate: calls a second, on average
    :param burst: calls that come all at once at the start
    :param burst_ms: over how long the burst is spread, in milliseconds
    :param model: the model, for prompts
    :param prompt_tokens: the least and the most of a prompt
    :param prefix_tokens: what the account's prompts have in common
    :param output_tokens: the least and the most to generate
    :param method: the HTTP method, for plain calls
    :param path: the path
    :param body: the body of plain calls; each gets a number of its own
    :param once: send an ``Idempotency-Key`` with each call
    """

    __slots__ = (
        "account",
        "key",
        "kind",
        "rate",
        "burst",
        "burst_ms",
        "model",
        "prompt_tokens",
        "prefix_tokens",
        "output_tokens",
        "method",
        "path",
        "body",
        "once",
    )

    def __init__(
        self,
        account: str,
        key: str,
        kind: str = "stream",
        rate: float = 0.0,
        burst: int = 0,
        burst_ms: int = 0,
        model: str = "m",
        prompt_tokens: tuple[int, int] = (20, 2_000),
        prefix_tokens: int = 0,
        output_tokens: tuple[int, int] = (20, 200),
        method: str = "POST",
        path: str = "/v1/completions",
        body: str = "",
        once: bool = False,
    ) -> None:
        self.account = account
        self.key = key
        self.kind = kind
        self.rate = rate
        self.burst = burst
        self.burst_ms = burst_ms
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.prefix_tokens = prefix_tokens
        self.output_tokens = output_tokens
        self.method = method
        self.path = path
        self.body = body
        self.once = once


class LoadPlan:
    """All callers, and where and for how long they call.

    :param addresses: ``host:port`` of VMs to ask for addresses
    :param callers: the callers
    :param seed: decides everything that is random
    :param duration_ms: when the last call begins, in milliseconds
    :param repeats: how often a caller tries again elsewhere
    :param timeout_ms: the longest that a caller waits for a whole answer
    """

    __slots__ = (
        "addresses",
        "callers",
        "seed",
        "duration_ms",
        "repeats",
        "timeout_ms",
    )

    def __init__(
        self,
        addresses: tuple[str, ...],
        callers: tuple[ClientProfile, ...],
        seed: int = 1,
        duration_ms: int = 10_000,
        repeats: int = 1,
        timeout_ms: int = 60_000,
    ) -> None:
        self.addresses = addresses
        self.callers = callers
        self.seed = seed
        self.duration_ms = duration_ms
        self.repeats = repeats
        self.timeout_ms = timeout_ms


class PlannedCall:
    """One call to come.

    :param number: unique in the plan
    :param at_ms: when it begins, from the start
    :param caller: who makes it
    :param prompt: the prompt, or a plain call's body
    :param max_tokens: the most to generate
    """

    __slots__ = ("number", "at_ms", "caller", "prompt", "max_tokens")

    def __init__(
        self,
        number: int,
        at_ms: float,
        caller: ClientProfile,
        prompt: str,
        max_tokens: int,
    ) -> None:
        self.number = number
        self.at_ms = at_ms
        self.caller = caller
        self.prompt = prompt
        self.max_tokens = max_tokens


def plan_calls(plan: LoadPlan) -> list[PlannedCall]:
    """Return all calls of a plan, the same for the same seed.

    :param plan: the plan
    :returns: the calls in the order of their times
    """
    numbers = itertools.count()
    calls = [
        _plan_call(next(numbers), at_ms, caller, random_)
        for index, caller in enumerate(plan.callers)
        for random_ in [random.Random(f"{plan.seed}.{index}")]
        for at_ms in _plan_times(caller, plan.duration_ms, random_)
    ]
    return sorted(calls, key=lambda call: call.at_ms)


def _plan_times(
    caller: ClientProfile, duration_ms: int, random_: random.Random
) -> list[float]:
    times = [
        caller.burst_ms * index / caller.burst for index in range(caller.burst)
    ]
    at_ms = 0.0
    while caller.rate > 0:
        at_ms += random_.expovariate(caller.rate) * 1000
        if at_ms >= duration_ms:
            break
        times.append(at_ms)
    return times


def _plan_call(
    number: int, at_ms: float, caller: ClientProfile, random_: random.Random
) -> PlannedCall:
    if caller.kind == "plain":
        body = caller.body.replace("{number}", str(number))
        return PlannedCall(number, at_ms, caller, body, 0)
    tokens = _pick_length(caller.prompt_tokens, random_)
    prompt = _make_prompt(number, caller, tokens, random_)
    output = _pick_length(caller.output_tokens, random_)
    return PlannedCall(number, at_ms, caller, prompt, output)


def _pick_length(bounds: tuple[int, int], random_: random.Random) -> int:
    """Pick a length so that short ones are as many as long ones by factor.

    Even picking would make nearly all prompts long; real ones spread from
    tens to tens of thousands of tokens.
    """
    low, high = bounds
    return round(low * (high / low) ** random_.random())


def _make_prompt(
    number: int, caller: ClientProfile, tokens: int, random_: random.Random
) -> str:
    prefix = _make_words(
        caller.prefix_tokens * BYTES_PER_TOKEN, random.Random(caller.account)
    )
    own = f"#{number} " + _make_words(tokens * BYTES_PER_TOKEN, random_)
    return (prefix + own)[: max(tokens, 4) * BYTES_PER_TOKEN]


def _make_words(size: int, random_: random.Random) -> str:
    count = size // 3 + 1
    return " ".join(random_.choices(WORDS, k=count))[:size]


def read_plan(file: str) -> LoadPlan:
    """Read a plan: a ``[load]`` section and ``[[caller]]`` rows.

    :param file: the file's name
    :returns: the plan
    :raises SettingsError: with the file, the key and what was expected
    """
    try:
        values = tomllib.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            file, "file", f"a readable TOML file ({error})"
        ) from error
    callers = tuple(
        _make(ClientProfile, file, f"caller[{index}]", row)
        for index, row in enumerate(values.get("caller", []))
    )
    return _make(
        LoadPlan, file, "load", values.get("load", {}) | {"callers": callers}
    )


def _make(
    class_: type, file: str, section: str, row: dict[str, typing.Any]
) -> typing.Any:
    row = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in row.items()
    }
    unknown = next((key for key in row if key not in class_.__slots__), None)
    if unknown is not None:
        raise errors.SettingsError(
            file, f"{section}.{unknown}", "a known option"
        )
    try:
        return class_(**row)
    except TypeError as error:
        raise errors.SettingsError(file, section, str(error)) from error
