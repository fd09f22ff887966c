"""Engine throughput under ideal load, and max-min fair shares."""

import itertools

from benchmarks import decisions_simulation as fleet
from benchmarks import decisions_workloads as workloads
from standins import engine_model
from standins import engine_types

__all__ = ["measure_decode_limit", "compute_max_min_shares"]


def measure_decode_limit(
    arrivals: list[workloads.Arrival], slow: bool, length_ms: int
) -> float:
    """Measure the throughput of one decode engine whose queue never empties.

    Prefill and KV transfer take no time, and the next request in order of
    arrival starts as soon as a slot becomes free.

    :param arrivals: the requests, repeated in a cycle
    :param slow: whether the engine is slowed down
    :param length_ms: simulated duration in ms
    :returns: tokens per second
    """
    parameters = engine_types.EngineParameters()
    if slow:
        parameters.slow_factor = fleet.SLOW_FACTOR
    engine = engine_model.EngineModel(parameters, "decode", ("m",))
    source = itertools.cycle(arrivals)
    numbers = itertools.count()
    for _ in range(parameters.slots):
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
    request = engine_types.EngineRequest(
        str(number), "ideal", "m", (), 1, arrival.output_tokens
    )
    if engine.submit_decode(request, now_ms) is not None:
        raise RuntimeError("the engine rejected a request of the ideal load")


def compute_max_min_shares(
    demands: dict[str, float], capacity: float
) -> dict[str, float]:
    """Compute the max-min fair share of each account, with equal weights.

    :param demands: tokens per second by account
    :param capacity: total tokens per second
    :returns: tokens per second by account
    """
    shares: dict[str, float] = {}
    remaining = capacity
    for count, (account, demand) in enumerate(
        sorted(demands.items(), key=lambda item: item[1])
    ):
        shares[account] = min(demand, remaining / (len(demands) - count))
        remaining -= shares[account]
    return shares
