"""Load plans: parsing from TOML and generation of calls from a seed."""

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
    """The parameters of one kind of call of a client account.

    :param account: the client account, as named in the report
    :param key: the account's API key
    :param kind: ``stream``, ``whole`` for a completion in one response, or
        ``plain``
    :param rate: the average number of calls per second
    :param burst: the number of calls in a burst at the start
    :param burst_ms: the time over which the burst is spread, in ms
    :param model: the model of prompts
    :param prompt_tokens: the minimum and maximum length of a prompt
    :param prefix_tokens: the length of the prefix that all prompts of the
        account share
    :param output_tokens: the minimum and maximum output length
    :param method: the HTTP method of plain calls
    :param path: the path
    :param body: the body of plain calls; ``{number}`` is replaced by the
        call's number
    :param once: whether to send an ``Idempotency-Key`` with each call
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
    """The callers of a load test, with its targets and duration.

    :param addresses: the seed addresses, as ``host:port``
    :param callers: the callers
    :param seed: the seed of all random choices
    :param duration_ms: the period in which calls start, in ms
    :param repeats: the maximum number of retries of a call
    :param timeout_ms: the maximum wait for a complete response, in ms
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
    """A scheduled call.

    :param number: the call's number, unique in the plan
    :param at_ms: the start time in ms after the start of the plan
    :param caller: the parameters of the caller
    :param prompt: the prompt, or the body of a plain call
    :param max_tokens: the maximum number of output tokens
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
    """Return all calls of a plan, which depend only on its seed.

    :param plan: the plan
    :returns: the calls, ordered by start time
    """
    numbers = itertools.count()
    calls = [
        _plan_call(next(numbers), at_ms, caller, random_)
        for index, caller in enumerate(plan.callers)
        for random_ in [random.Random(f"{plan.seed}.{index}")]
        for at_ms in _plan_start_times(caller, plan.duration_ms, random_)
    ]
    return sorted(calls, key=lambda call: call.at_ms)


def _plan_start_times(
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
    tokens = _draw_length(caller.prompt_tokens, random_)
    prompt = _make_prompt(number, caller, tokens, random_)
    output = _draw_length(caller.output_tokens, random_)
    return PlannedCall(number, at_ms, caller, prompt, output)


def _draw_length(bounds: tuple[int, int], random_: random.Random) -> int:
    """Draw a length from a log-uniform distribution.

    Real prompts range from tens to tens of thousands of tokens; a uniform
    distribution would make nearly all of them long.
    """
    low, high = bounds
    return round(low * (high / low) ** random_.random())


def _make_prompt(
    number: int, caller: ClientProfile, tokens: int, random_: random.Random
) -> str:
    prefix = _make_text(
        caller.prefix_tokens * BYTES_PER_TOKEN, random.Random(caller.account)
    )
    own = f"#{number} " + _make_text(tokens * BYTES_PER_TOKEN, random_)
    return (prefix + own)[: max(tokens, 4) * BYTES_PER_TOKEN]


def _make_text(size: int, random_: random.Random) -> str:
    count = size // 3 + 1
    return " ".join(random_.choices(WORDS, k=count))[:size]


def read_plan(file: str) -> LoadPlan:
    """Read a plan from a TOML file.

    The file has a ``[load]`` section and ``[[caller]]`` rows.

    :param file: the file's name
    :returns: the plan
    :raises SettingsError: with the file, the key and the expected value
    """
    try:
        values = tomllib.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise errors.SettingsError(
            file, "file", f"a readable TOML file ({error})"
        ) from error
    callers = tuple(
        _construct(ClientProfile, file, f"caller[{index}]", row)
        for index, row in enumerate(values.get("caller", []))
    )
    return _construct(
        LoadPlan, file, "load", values.get("load", {}) | {"callers": callers}
    )


def _construct(
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
