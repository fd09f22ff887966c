"""The engines' own limit under an ideal feed, and each account's due."""

import itertools

from benchmarks import decisions_simulation as fleet
from benchmarks import decisions_workloads as workloads
from standins import engine_model
from standins import engine_types

__all__ = ["measure_decode_limit", "compute_max_min_shares"]


def measure_decode_limit(
    arrivals: list[workloads.Arrival], slow: bool, length_ms: int
) -> float:
    """Return what one decode engine does if a request always waits for it.

    Prefill and transfer take no time in the ideal feed, and each slot that
    comes free is taken at once by the next request in order of arrival.

    :param arrivals: whose requests are fed, again and again
    :param slow: whether the engine is the slow one
    :param length_ms: for how long it is fed
    :returns: tokens a second
    """
    shape = engine_types.EngineParameters()
    if slow:
        shape.slow_factor = fleet.SLOW_FACTOR
    engine = engine_model.EngineModel(shape, "decode", ("m",))
    source = itertools.cycle(arrivals)
    numbers = itertools.count()
    for _ in range(shape.slots):
        _feed(engine, next(source), next(numbers), 0.0)
    tokens = 0
    while (now_ms := engine.get_next_event_ms()) < length_ms:
        for event in engine.advance(now_ms):
            tokens += event.kind is engine_types.EventKind.TOKEN
            if event.kind is engine_types.EventKind.FINISHED:
                _feed(engine, next(source), next(numbers), now_ms)
    return tokens * 1_000 / length_ms


def _feed(
    engine: engine_model.EngineModel,
    arrival: workloads.Arrival,
    number: int,
    now_ms: float,
) -> None:
    run = engine_types.EngineRequest(
        str(number), "ideal", "m", (), 1, arrival.output_tokens
    )
    if engine.submit_decode(run, now_ms) is not None:
        raise RuntimeError("the ideal feed was refused")


def compute_max_min_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return each account's due: its demand, or an equal part of what is left.

    :param demands: tokens a second by account
    :param capacity: tokens a second in all
    :returns: tokens a second by account; weights are all one here
    """
    dues: dict[str, float] = {}
    left = capacity
    for count, (account, demand) in enumerate(
        sorted(demands.items(), key=lambda item: item[1])
    ):
        dues[account] = min(demand, left / (len(demands) - count))
        left -= dues[account]
    return dues
