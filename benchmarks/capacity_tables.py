"""The rows of docs/CAPACITY.md, computed for the users' target size."""

import math

from benchmarks import capacity_rows

__all__ = ["TABLES"]

Row = capacity_rows.Row
Target = capacity_rows.Target

PER_VM = Target.REQUESTS_PER_VM
ENGINE_DECADES = math.log10(Target.ENGINES)
ACCOUNT_DECADES = math.log10(Target.ACCOUNTS)
CPU_LIMIT = "13 ms/s for all control"
BYTES_LIMIT = "15,000 B/s for all control"
MS_IN_US = 1_000

CONTROL = [
    Row(
        "router, at rest",
        "processor, ms/s a VM, all controllers",
        ("control-cpu-ms-per-s",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        CPU_LIMIT,
        "probes, one question a second to a peer, notes only on change",
    ),
    Row(
        "router, at rest",
        "memory, MB a VM",
        ("control-memory-mb",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        "128 MB",
        "one process a VM; segments of the tables are kept once",
    ),
    Row(
        "membership",
        "processor, ms/s a VM",
        ("membership-cpu",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        CPU_LIMIT,
        "one random probe a second with hearsay",
    ),
    Row(
        "membership",
        "bytes/s a VM",
        ("membership-bytes",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        BYTES_LIMIT,
        "news in bounded pieces along with probes",
    ),
    Row(
        "configuration",
        "bytes/s a VM, at rest",
        ("configuration-rest-bytes",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        BYTES_LIMIT,
        "roots travel between peers; only newer ones are sent",
    ),
    Row(
        "configuration",
        "bytes/s a VM, 1,800 edits a day",
        ("configuration-edit-bytes",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS) * Target.EDITS_PER_S,
        BYTES_LIMIT,
        "an edit moves the root and one segment",
    ),
    Row(
        "configuration",
        "ms until an edit is in force everywhere, the slowest",
        ("configuration-in-force",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        "4,000 ms",
        "handed to three VMs, then by revisions in probes",
    ),
    Row(
        "allowances",
        "processor, ms/s a VM, accounts at 85 % of their rate, 3.8 "
        "requests/s a VM (11.8 at 3 VMs)",
        ("allowances-cpu",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        CPU_LIMIT,
        "8 parts an account, loans between VMs",
    ),
    Row(
        "allowances",
        "peer calls a request, accounts at 85 % of their rate",
        ("allowances-calls",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        "-",
        "loans sized by a second's demand",
    ),
    Row(
        "allowances",
        "bytes/s a VM, accounts at 85 % of their rate, 3.8 requests/s a VM "
        "(11.8 at 3 VMs)",
        ("allowances-bytes",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        BYTES_LIMIT,
        "as above",
    ),
    Row(
        "scheduler",
        "processor, ms/s a VM, decisions of 22 requests/s, by engines",
        ("decision-cpu-engines",),
        ENGINE_DECADES,
        lambda fit: fit.predict(ENGINE_DECADES) * PER_VM / MS_IN_US,
        CPU_LIMIT,
        "cells of 64 engines and some six routers",
    ),
    Row(
        "scheduler",
        "processor, ms/s a VM, decisions of 22 requests/s, by accounts",
        ("decision-cpu-accounts",),
        ACCOUNT_DECADES,
        lambda fit: fit.predict(ACCOUNT_DECADES) * PER_VM / MS_IN_US,
        CPU_LIMIT,
        "heaps by start time; 16 accounts told of in a note",
    ),
]

PLATFORM = [
    Row(
        "platform",
        "calls/s of all VMs at rest",
        ("control-platform-calls-per-s",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        "some hundred writes and 2,000 reads a second",
        "three watchers a region, slots by lease, the list by turns",
    ),
    Row(
        "platform",
        "calls/s for the tables, at rest",
        ("configuration-platform-calls",),
        Target.VMS,
        lambda fit: fit.predict(Target.VMS),
        "2,000 reads a second",
        "a watch each for three VMs",
    ),
]

DATA = [
    Row(
        "router, data path",
        "processor, ms/s for 6,340 tokens/s",
        ("relay-cpu",),
        Target.TOKENS_PER_VM,
        lambda fit: fit.predict(Target.TOKENS_PER_VM),
        "one core: 1,000 ms/s",
        "one event loop for all streams",
    ),
    Row(
        "router, data path",
        "processor, ms/s for 22 requests/s, short answers",
        ("request-cpu",),
        PER_VM,
        lambda fit: fit.predict(PER_VM) - fit.intercept,
        "one core: 1,000 ms/s",
        "a thread until the decode has begun",
    ),
    Row(
        "router, data path",
        "memory, MB with 420 streams",
        ("relay-memory",),
        420,
        lambda fit: fit.predict(420),
        "-",
        "no thread for a running stream",
    ),
]

TABLES = {"control": CONTROL, "platform": PLATFORM, "data": DATA}
