"""Runs one seed: processes, callers, fault injection and checks."""

import pathlib
import shutil
import time

from soak import callers
from soak import checks
from soak import cluster
from soak import history
from soak import injector
from soak import plan
from soak import shutdowns
from soak import stops

__all__ = ["SeedResult", "run_seed"]

MS_IN_S = 1_000
# Requests that run when the last caller disconnects must end in this time.
RELEASE_TIMEOUT_S = 1.5
QUOTA = checks.Quota(
    "small",
    cluster.RATE,
    cluster.RATE,
    cluster.OVER_PART,
    cluster.OVER_TOKENS,
)


class SeedResult:
    """Result of one seed.

    :param seed: seed of the run
    :param faults: fault schedule
    :param recorded: recorded history
    :param violations: one message for each violation
    """

    __slots__ = ("seed", "faults", "history", "violations")

    def __init__(
        self,
        seed: int,
        faults: list[plan.ScheduledFault],
        recorded: history.History,
        violations: list[str],
    ) -> None:
        self.seed = seed
        self.faults = faults
        self.history = recorded
        self.violations = violations

    def describe(self) -> str:
        """Return a human-readable summary in one line."""
        served = sum(
            attempt.status == 200 for attempt in self.history.attempts
        )
        faults = ", ".join(step.describe() for step in self.faults)
        return (
            f"seed {self.seed}: {len(self.violations)} violations, "
            f"{served} of {len(self.history.attempts)} served, "
            f"resumed {checks.count_resumptions(self.history)}, "
            f"{self._count_crashes()} engines ended by parts, "
            f"shutdowns {shutdowns.count_outcomes(self.history)}; {faults}"
        )

    def _count_crashes(self) -> int:
        return sum(bool(arrival.crashes) for arrival in self.history.arrivals)


def run_seed(
    seed: int, config: plan.SoakConfig, log_folder: pathlib.Path | None = None
) -> SeedResult:
    """Run one seed.

    :param seed: seed of the fault schedule and of the callers
    :param config: size of the soak
    :param log_folder: folder that the logs of a failed seed are copied to
    :returns: result of the run
    """
    steps = sorted(
        [
            *plan.make_fault_schedule(seed, config),
            *stops.make_stops(seed, config),
        ],
        key=lambda step: step.at_ms,
    )
    with cluster.SoakCluster(config) as soak_cluster:
        client_callers = callers.Callers(seed, soak_cluster)
        started_ms = cluster.now_ms()
        client_callers.start()
        injector.Injector(soak_cluster, steps).inject_all()
        ended_ms = max(cluster.now_ms(), started_ms + config.length_ms)
        soak_cluster.history.recovered_ms = ended_ms + plan.RECOVERY_MS
        remaining_ms = ended_ms + plan.COOLDOWN_MS - cluster.now_ms()
        time.sleep(remaining_ms / MS_IN_S)
        soak_cluster.history.attempts += client_callers.stop()
        time.sleep(RELEASE_TIMEOUT_S)
        soak_cluster.history.held = soak_cluster.count_held()
        soak_cluster.history.unregistered_vms = (
            soak_cluster.list_unregistered_vms()
        )
        recorded = soak_cluster.read_history()
        violations = checks.find_violations(recorded, QUOTA)
        if violations and log_folder is not None:
            _keep_logs(soak_cluster, log_folder / f"seed-{seed}")
    return SeedResult(seed, steps, recorded, violations)


def _keep_logs(
    soak_cluster: cluster.SoakCluster, folder: pathlib.Path
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for file in pathlib.Path(soak_cluster.folder.name).iterdir():
        if file.suffix in (".log", ".jsonl"):
            shutil.copy(file, folder)
    windows = [
        f"{window.from_ms} {window.to_ms} {window.kind} {window.target}"
        for window in soak_cluster.history.fault_windows
    ]
    windows += [
        f"{each.signalled_ms} {each.ended_ms} shutdown vm-{each.vm} status "
        f"{each.status} killed={each.is_killed} again={each.again_ms}"
        for each in soak_cluster.history.shutdowns
    ]
    (folder / "windows.txt").write_text("\n".join(windows), encoding="utf-8")
    attempts = [
        f"{attempt.name} {attempt.kind.value} vm-{attempt.vm} "
        f"{attempt.began_ms} {attempt.ended_ms} {attempt.status} "
        f"cut={attempt.is_cut}"
        for attempt in soak_cluster.history.attempts
    ]
    (folder / "attempts.txt").write_text("\n".join(attempts), encoding="utf-8")
