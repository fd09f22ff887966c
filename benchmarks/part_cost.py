"""Measures what the quarantine of prompt parts costs a VM.

``python -m benchmarks.part_cost`` prints memory, message sizes, processor time
and the number of refutations in fleets of several sizes.
"""

import random
import time
import tracemalloc

import numpy

from mulberryway.peers import gossip_messages
from mulberryway.policy import hints
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records

__all__ = ["main"]

SIZES = (256, 512, 1_024)
REPEATS = 20_000
PARTS_PER_PROMPT = 4
FLEETS = (6, 50, 195, 410)
SPREAD_MS = 200
STEP_MS = 20
LENGTH_MS = 10_000
US_IN_S = 1_000_000
NOW_MS = 1_000_000


def make_quarantine(name: str = "vm0") -> part_quarantine.PartQuarantine:
    """Return an empty quarantine of one VM.

    :param name: the VM's name
    """
    return part_quarantine.PartQuarantine(name, random.Random(name))


def make_keys(count: int) -> list[str]:
    """Return the keys of some parts.

    :param count: the number of parts
    """
    return [
        part_records.make_part_key("m", f"{number:08x}")
        for number in range(count)
    ]


def measure_memory(is_blamed: bool) -> float:
    """Return the memory for one more part, in bytes.

    :param is_blamed: whether two crashes are recorded for each part, or one
        survived run
    """
    sizes = []
    for count in SIZES:
        keys = make_keys(count)
        tracemalloc.start()
        quarantine = make_quarantine()
        for key in keys:
            if is_blamed:
                quarantine.record_crash((key,), "lm/e1", NOW_MS)
                quarantine.record_crash((key,), "lm/e2", NOW_MS + 1_000)
            else:
                quarantine.record_survival((key,), NOW_MS, NOW_MS)
        quarantine.drain_updates(NOW_MS)
        quarantine.drain_changes()
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    return float(numpy.polyfit(SIZES, sizes, 1)[0])


def measure_assess_us(blamed: int) -> float:
    """Return the processor time to assess a sound request, in us.

    :param blamed: the number of quarantined parts
    """
    quarantine = make_quarantine()
    for key in make_keys(blamed):
        quarantine.record_crash((key,), "lm/e1", NOW_MS)
        quarantine.record_crash((key,), "lm/e2", NOW_MS + 1_000)
    prompt = tuple(f"part:m/{number}" for number in range(PARTS_PER_PROMPT))
    began_s = time.process_time()
    for _ in range(REPEATS):
        quarantine.assess(prompt, NOW_MS)
    return (time.process_time() - began_s) / REPEATS * US_IN_S


def measure_rejection_us(blamed: int) -> float:
    """Return the processor time to reject a request, in us.

    :param blamed: the number of quarantined parts
    """
    quarantine = make_quarantine()
    keys = make_keys(blamed)
    for key in keys:
        quarantine.record_crash((key,), f"lm/{key}", NOW_MS)
        quarantine.record_crash((key,), f"lm/{key}-2", NOW_MS + 1_000)
    count = 50
    began_s = time.process_time()
    for key in (keys * count)[:count]:
        quarantine.assess((key,), NOW_MS + 1_000)
    return (time.process_time() - began_s) / count * US_IN_S


def count_refutations(vms: int) -> int:
    """Return how many VMs refute one wrong blame, if all have a proof.

    :param vms: the number of VMs
    """
    names = tuple(f"vm{number}" for number in range(vms))
    fleet = list(map(make_quarantine, names))
    for vm in fleet:
        vm.update_vms(names)
    (key,) = make_keys(1)
    for vm in fleet[1:]:
        vm.record_survival((key,), NOW_MS - 1_000, NOW_MS)
    blame = hints.Death(key, "lm/e1", SPREAD_MS, False)
    for vm in fleet[1:]:
        vm.apply_update(blame, NOW_MS + SPREAD_MS)
    pending: list[tuple[int, hints.Death]] = []
    sent = 0
    for at_ms in range(NOW_MS, NOW_MS + LENGTH_MS, STEP_MS):
        now_ms = at_ms + SPREAD_MS
        for due_ms, update in pending:
            if due_ms == now_ms:
                for vm in fleet:
                    vm.apply_update(update, now_ms)
        for vm in fleet:
            for update in vm.drain_updates(now_ms):
                sent += 1
                pending.append((now_ms + SPREAD_MS, update))
    return sent


def main() -> None:
    """Print all measurements."""
    print(f"a proven part: {measure_memory(False):.0f} bytes of memory")
    print(f"a blamed part: {measure_memory(True):.0f} bytes of memory")
    update = hints.Death(make_keys(1)[0], "lm/i-e3f8ccabb3", 100, False)
    size = len(gossip_messages.encode_death(update))
    print(f"an update: {size} bytes")
    for blamed in (0, 32, part_quarantine.MAX_PARTS):
        print(
            f"{blamed} parts quarantined: "
            f"{measure_assess_us(blamed):.1f} us to assess a sound request"
        )
    for blamed in (1, 32, part_quarantine.MAX_PARTS):
        print(
            f"{blamed} parts quarantined: "
            f"{measure_rejection_us(blamed):.0f} us to reject a request"
        )
    for vms in FLEETS:
        print(f"{vms} VMs: {count_refutations(vms)} refutations of a blame")


if __name__ == "__main__":
    main()
