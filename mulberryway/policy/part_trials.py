"""When VMs may try a quarantined part of a prompt again."""

import collections.abc

from mulberryway.policy import part_records
from mulberryway.policy import pool_subsets

__all__ = [
    "DOUBTFUL_TRIAL_DELAYS_MS",
    "FEW_CRASHES",
    "TRIAL_DELAYS_MS",
    "compute_wait_ms",
    "rank_vm",
]

# Time from a part's last crash to its next trial, by the number of trials.
TRIAL_DELAYS_MS = (3_000, 10_000, 60_000)
# The same where other parts may explain each crash: two parts that crash
# engines by turns may have a sound one in common.
DOUBTFUL_TRIAL_DELAYS_MS = (1_000, 3_000, 6_000)
# A trial without a result has been lost.
TRIAL_TIMEOUT_MS = 3_000
# Trials may begin on groups of VMs by turns, so that the others hear of one
# before their own turn.  With few crashes there are few groups, so that a rare
# sound part need not wait; then it is one VM at a time, or a few of many.
TRIAL_TURN_MS = 1_000
FEW_CRASHES = 4
MIN_TRIAL_TURNS = 2
MAX_TRIAL_TURNS = 16


def compute_wait_ms(
    record: part_records.PartRecord,
    crashes: list[part_records.Crash],
    is_doubtful: bool,
    rank: int,
    vms: int,
    now_ms: int,
) -> int | None:
    """Return the time until a VM may begin the next trial of a part.

    :param record: the part's record
    :param crashes: the crashes that it is still blamed for, in order of time
    :param is_doubtful: whether other parts may explain each of them
    :param rank: the VM's position among all VMs, for this part
    :param vms: the number of VMs
    :param now_ms: current time in ms
    :returns: time in ms, 0 if it may begin now; none if there is no trial any
        more
    """
    delays_ms = DOUBTFUL_TRIAL_DELAYS_MS if is_doubtful else TRIAL_DELAYS_MS
    if len(record.trials_ms) >= len(delays_ms):
        return None
    due_ms = crashes[-1].at_ms + delays_ms[len(record.trials_ms)]
    if record.trials_ms:
        due_ms = max(due_ms, record.trials_ms[-1] + TRIAL_TIMEOUT_MS)
    max_turns = (
        MIN_TRIAL_TURNS if len(crashes) <= FEW_CRASHES else MAX_TRIAL_TURNS
    )
    return _compute_turn_wait_ms(rank, min(vms, max_turns), now_ms - due_ms)


def rank_vm(key: str, vm: str, vms: collections.abc.Iterable[str]) -> int:
    """Return a VM's position among all VMs, which differs between parts.

    :param key: the part's key
    :param vm: the VM's name
    :param vms: names of all VMs
    """
    own = pool_subsets.hash_pair(key, vm)
    return sum(pool_subsets.hash_pair(key, other) > own for other in vms)


def _compute_turn_wait_ms(rank: int, turns: int, elapsed_ms: int) -> int:
    """Return the time until a VM's next turn; 0 during its turn.

    :param rank: the VM's position among all VMs
    :param turns: the number of groups that take turns
    :param elapsed_ms: time since the first turn began; negative before
    """
    first_ms = rank % turns * TRIAL_TURN_MS
    if elapsed_ms < first_ms:
        return first_ms - elapsed_ms
    since_ms = (elapsed_ms - first_ms) % (turns * TRIAL_TURN_MS)
    return 0 if since_ms < TRIAL_TURN_MS else turns * TRIAL_TURN_MS - since_ms
