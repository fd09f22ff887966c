"""CPU time of a scheduling decision by queue length, engines and accounts.

Each measurement varies one size and keeps the others fixed.  Growth is given
as the exponent of a power law: 1 is linear, 0 is constant.
"""

import json
import math
import pathlib
import time
import typing

from benchmarks import series
from mulberryway import clock
from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.policy import scheduler

__all__ = ["measure"]

COMMAND = "python -m benchmarks.decisions_cost"
QUEUE_LENGTHS = (16, 64, 256, 1_000)
ENGINES = (6, 64, 640, 4_800)
ACCOUNTS = (5, 50, 500, 2_200)
VMS = 410
ROUNDS = 300
OUT = pathlib.Path("out/decisions_cost.json")


def measure() -> dict[str, typing.Any]:
    """Measure the growth with each of the three sizes.

    :returns: CPU time in microseconds for each size, and the exponent
    """
    growths = {
        "queue_length": _measure_growth(
            QUEUE_LENGTHS, lambda size: measure_one(size, 64, 50)
        ),
        "engines": _measure_growth(
            ENGINES, lambda size: measure_one(64, size, 50)
        ),
        "accounts": _measure_growth(
            ACCOUNTS, lambda size: measure_one(900, 64, size)
        ),
    }
    for name, growth in growths.items():
        points = [
            (math.log10(int(size)), sum(row.values()) - row["idle"])
            for size, row in growth["us"].items()
        ]
        series.write_series(
            series.Series(
                f"decision-cpu-{name.replace('_', '-')}",
                COMMAND,
                f"powers of ten of {name.replace('_', ' ')}",
                "us of processor, a request's submit and start",
                points,
            )
        )
    return growths


def _measure_growth(
    sizes: tuple[int, ...], run: typing.Callable[[int], dict[str, float]]
) -> dict[str, typing.Any]:
    rows = {size: run(size) for size in sizes}
    first, last = sizes[0], sizes[-1]
    powers = {
        name: round(
            math.log(rows[last][name] / rows[first][name])
            / math.log(last / first),
            2,
        )
        for name in rows[first]
    }
    return {"us": {str(k): v for k, v in rows.items()}, "power": powers}


def measure_one(waiting: int, engines: int, accounts: int) -> dict[str, float]:
    """Measure the CPU time of scheduling one job while others are queued.

    :param waiting: number of queued jobs
    :param engines: engines in the pool, a quarter of them for prefill
    :param accounts: number of client accounts that submit jobs
    :returns: CPU time in microseconds of a submit; of a start, which is a
        finish, a dispatch that starts one job, and the gossip message for
        it; and of an idle dispatch, which can start none
    """
    router = make_router(engines)
    number = 0
    running: list[str] = []
    while len(running) < _count_slots(router):
        number = _submit(router, number, accounts)
        running += [a.job_id for a in router.dispatch(0).assignments]
    for _ in range(waiting):
        number = _submit(router, number, accounts)
    idle = _measure_mean_s(lambda: router.dispatch(1))
    submits, starts = 0.0, 0.0
    for round_ in range(ROUNDS):
        now_ms = 10 + round_ * 10
        began = time.process_time()
        number = _submit(router, number, accounts, now_ms)
        submits += time.process_time() - began
        began = time.process_time()
        router.finish(running.pop(0), jobs.JobOutcome.DONE, "", now_ms)
        assignments = router.dispatch(now_ms).assignments
        router.drain_hints(now_ms)
        starts += time.process_time() - began
        running += [assignment.job_id for assignment in assignments]
    return {
        "submit": round(submits / ROUNDS * 1e6, 1),
        "start": round(starts / ROUNDS * 1e6, 1),
        "idle": round(idle * 1e6, 1),
    }


def _measure_mean_s(act: typing.Callable[[], object]) -> float:
    began = time.process_time()
    for _ in range(ROUNDS):
        act()
    return (time.process_time() - began) / ROUNDS


def _count_slots(router: scheduler.FairScheduler) -> int:
    # The scheduler leaves some slots free, so that no job is rejected early
    # while the queue fills; the accounts' own limits hold the queue back.
    return router._pools["lm"].placer.count_slots()


def make_router(engines: int) -> scheduler.FairScheduler:
    """Return the scheduler of one router with a single pool.

    :param engines: number of engines in the pool
    :returns: the scheduler
    """
    router = scheduler.FairScheduler("vm7", seed=1)
    rows = tuple(
        tables.Upstream(
            f"e{number}",
            f"10.0.{number // 250}.{number % 250}:1",
            f"zone{number % 6}",
            tables.UpstreamRole.DECODE
            if number % 4
            else tables.UpstreamRole.PREFILL,
        )
        for number in range(engines)
    )
    pool = tables.Pool("lm", tables.PoolKind.MODEL, rows, ("m",), slots=4)
    router.update_vms(tuple(f"vm{number}" for number in range(VMS)), 0)
    router.change_pools({"lm": pool}, 0)
    return router


def _submit(
    router: scheduler.FairScheduler,
    number: int,
    accounts: int,
    now_ms: int = 0,
) -> int:
    job = jobs.Job(
        f"j{number}",
        f"a{number % accounts}",
        1,
        "lm",
        "m",
        300,
        500,
        (),
        1_200,
        now_ms,
        clock.Deadline(now_ms + 3_600_000),
    )
    result = router.submit(job, now_ms)
    if result.is_error():
        raise RuntimeError(f"the scheduler rejected a job: {result.error}")
    return number + 1


def print_table(growths: dict[str, typing.Any]) -> None:
    """Print the CPU times and exponents.

    :param growths: the result of :func:`measure`
    """
    for name, growth in growths.items():
        for size, row in growth["us"].items():
            cells = ", ".join(f"{key} {us} us" for key, us in row.items())
            print(f"{name:13} {size:>5}: {cells}")
        print(f"{name:13} power: {growth['power']}")


def main() -> None:
    growths = measure()
    print_table(growths)
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(growths, indent=1), encoding="utf-8")


if __name__ == "__main__":
    main()
