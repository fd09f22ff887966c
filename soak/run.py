"""Plays one seed: the world, its callers, its faults, and the checks."""

import pathlib
import shutil
import time

from soak import callers
from soak import checks
from soak import cluster
from soak import history
from soak import injector
from soak import plan

__all__ = ["SeedResult", "run_seed"]

MS_IN_S = 1_000
# What runs when the last caller has gone has to end within this time.
RELEASE_TIMEOUT_S = 1.5
QUOTA = checks.Quota(
    "small",
    cluster.RATE,
    cluster.RATE,
    cluster.OVER_PART,
    cluster.OVER_TOKENS,
)


class SeedResult:
    """What came of a seed.

    :param seed: the seed
    :param faults: its plan
    :param seen: what was seen
    :param broken: one sentence for each broken promise
    """

    __slots__ = ("seed", "faults", "seen", "broken")

    def __init__(
        self,
        seed: int,
        faults: list[plan.ScheduledFault],
        seen: history.History,
        broken: list[str],
    ) -> None:
        self.seed = seed
        self.faults = faults
        self.seen = seen
        self.broken = broken

    def describe(self) -> str:
        """Return one line for people."""
        served = sum(one.status == 200 for one in self.seen.attempts)
        faults = ", ".join(
            f"{step.kind}({step.target}) {step.at_ms}+{step.duration_ms}"
            for step in self.faults
        )
        return (
            f"seed {self.seed}: {len(self.broken)} broken, "
            f"{served} of {len(self.seen.attempts)} served; {faults}"
        )


def run_seed(
    seed: int, shape: plan.SoakConfig, keep: pathlib.Path | None = None
) -> SeedResult:
    """Play one seed.

    :param seed: decides the plan and the callers
    :param shape: the size
    :param keep: a folder that the logs of a failed seed are copied to
    :returns: what came of it
    """
    steps = plan.make_fault_schedule(seed, shape)
    with cluster.SoakCluster(shape) as world_:
        crowd = callers.Callers(seed, world_)
        began_ms = cluster.now_ms()
        crowd.start()
        injector.Injector(world_, steps).inject_all()
        ended_ms = max(cluster.now_ms(), began_ms + shape.length_ms)
        world_.seen.recovered_ms = ended_ms + plan.RECOVERY_MS
        left_ms = ended_ms + plan.COOLDOWN_MS - cluster.now_ms()
        time.sleep(left_ms / MS_IN_S)
        world_.seen.attempts += crowd.stop()
        time.sleep(RELEASE_TIMEOUT_S)
        world_.seen.held = world_.count_held()
        seen = world_.read_history()
        broken = checks.find_violations(seen, QUOTA)
        if broken and keep is not None:
            _keep_logs(world_, keep / f"seed-{seed}")
    return SeedResult(seed, steps, seen, broken)


def _keep_logs(world_: cluster.SoakCluster, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for file in pathlib.Path(world_.folder.name).iterdir():
        if file.suffix in (".log", ".jsonl"):
            shutil.copy(file, folder)
    windows = [
        f"{window.from_ms} {window.to_ms} {window.kind} {window.target}"
        for window in world_.seen.fault_windows
    ]
    (folder / "windows.txt").write_text("\n".join(windows), encoding="utf-8")
    attempts = [
        f"{one.name} {one.kind.value} vm-{one.vm} {one.began_ms} "
        f"{one.ended_ms} {one.status} cut={one.is_cut}"
        for one in world_.seen.attempts
    ]
    (folder / "attempts.txt").write_text("\n".join(attempts), encoding="utf-8")
