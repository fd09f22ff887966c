"""How long edits take until they are in force, and what the tables cost.

``python -m benchmarks.configuration`` starts real processes on loopback: the
platform stand-in and 3, 9, 27 and 81 VMs without routers.  The administration
runs in the measuring process.
"""

import json
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
import typing
import urllib.request

import tomli_w

from benchmarks import series
from mulberryway import clock
from mulberryway import peers
from mulberryway import settings
from mulberryway import tables
from mulberryway.admin import administration
from mulberryway.admin import editor
from mulberryway.admin import fleet
from mulberryway.objects import call_metrics
from mulberryway.objects import http
from mulberryway.tables import parse

__all__ = ["measure"]

ROOT = pathlib.Path(__file__).parent.parent
SIZES = (3, 9, 27, 81)
ACCOUNTS = 2_200
EDITS = 15
IDLE_S = 20
FIRST_PORT = 23_000
SECRET = "fleet secret"
ZONES = ("kandy-a", "matale-b", "nuwara-c")
START_S = 60
MS_IN_S = 1_000
KB_IN_MB = 1_024
COMMAND = "python -m benchmarks.configuration"
SERIES = (
    (
        "configuration-in-force",
        "ms until an edit is in force everywhere, most",
        "edit_in_force_ms",
    ),
    (
        "configuration-platform-calls",
        "calls to the platform a second at rest, all VMs",
        "rest_platform_calls_per_s",
    ),
    (
        "configuration-rest-bytes",
        "bytes a second at rest, each VM",
        "rest_configuration_bytes_per_s_per_vm",
    ),
    (
        "configuration-rest-cpu",
        "ms of processor time a second at rest, each VM, membership included",
        "rest_cpu_ms_per_s_per_vm",
    ),
    (
        "configuration-edit-bytes",
        "bytes an edit, each VM",
        "edit_configuration_bytes_per_vm",
    ),
)
BASE = """
[pools.lm]
kind = "model"
models = ["m1"]
upstreams.p = {address = "127.0.0.1:9", zone = "z", role = "prefill"}
upstreams.d = {address = "127.0.0.1:10", zone = "z", role = "decode"}
[routes.lm]
path_prefix = "/v1/completions"
pool = "lm"
"""

Report = dict[str, typing.Any]


class Vm:
    """A process of ``benchmarks.configuration_vm``.

    :param file: its settings
    """

    def __init__(self, file: pathlib.Path) -> None:
        self.popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.configuration_vm",
                f"--settings={file}",
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.in_force_ms: dict[int, int] = {}
        self.usages: list[Report] = []

    def stop(self) -> None:
        """End it and read what it has printed."""
        self.popen.send_signal(signal.SIGTERM)
        output, _ = self.popen.communicate(timeout=START_S)
        for line in output.splitlines():
            words = line.split(maxsplit=1)
            if words[0].isdecimal():
                self.in_force_ms[int(words[0])] = int(words[1])
            elif line.startswith("{"):
                self.usages.append(json.loads(line))


class VmFleet:
    """One fleet of a size.

    :param count: how many VMs
    :param folder: where settings are written
    """

    def __init__(self, count: int, folder: pathlib.Path) -> None:
        self.count = count
        self.clock = clock.SystemClock()
        self.platform_port = FIRST_PORT
        self.platform = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.platform",
                f"--port={self.platform_port}",
            ],
            cwd=ROOT,
        )
        time.sleep(1)
        self.vms = [Vm(self.write(folder, n)) for n in range(count)]
        self.client = peers.PeerClient(SECRET, self.clock, 2_000)
        self.counts = call_metrics.InMemoryCallCounter()
        self.fleet = fleet.Fleet(
            self.client,
            f"127.0.0.1:{FIRST_PORT + 1}",
            self.clock,
            settings.Settings().configuration_fresh_ms,
            random.Random(1),
        )
        store = http.HttpObjectStore(
            f"http://127.0.0.1:{FIRST_PORT}", 2_000, self.clock, self.counts
        )
        self.admin = administration.Administration(
            editor.Editor(
                store,
                self.clock,
                random.Random(2),
                self.fleet.read_revision,
                self.fleet.announce,
            ),
            self.fleet,
        )

    def write(self, folder: pathlib.Path, number: int) -> pathlib.Path:
        """Write the settings of one VM.

        :param folder: where to
        :param number: which VM
        """
        port = FIRST_PORT + 1 + number
        sections = {
            "vm": {
                "name": f"vm{number}",
                "zone": ZONES[number % len(ZONES)],
                "region": "lk-central",
            },
            "peers": {
                "port": port,
                "secret": SECRET,
                "seeds": [f"127.0.0.1:{FIRST_PORT + 1 + n}" for n in range(3)],
            },
            "platform": {"url": f"http://127.0.0.1:{FIRST_PORT}"},
            "telemetry": {"log_level": "ERROR"},
        }
        file = folder / f"{self.count}-{number}.toml"
        file.write_text(tomli_w.dumps(sections))
        return file

    def stop(self) -> None:
        """End the VMs and the platform."""
        for vm in self.vms:
            vm.popen.send_signal(signal.SIGTERM)
        for vm in self.vms:
            vm.stop()
        self.platform.terminate()
        self.platform.wait()
        self.fleet.close()
        self.client.close()

    def wait_for_vms(self) -> None:
        """Wait until every VM knows all others."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            states = self.fleet.fetch_vm_states()
            if sum(state.is_reached for state in states) == self.count:
                return
            time.sleep(0.2)
        raise RuntimeError("the VMs did not find one another")

    def print_usage(self) -> None:
        """Let each VM print what it has used so far."""
        for vm in self.vms:
            vm.popen.send_signal(signal.SIGUSR1)

    def read_platform_calls(self) -> int:
        """Return how many calls the platform has had."""
        url = f"http://127.0.0.1:{FIRST_PORT}/standin/calls"
        with urllib.request.urlopen(url, timeout=5) as reply:
            return _sum_numbers(json.load(reply))


def _sum_numbers(value: typing.Any) -> int:
    if isinstance(value, dict):
        return sum(map(_sum_numbers, value.values()))
    if isinstance(value, list):
        return sum(map(_sum_numbers, value))
    return value if isinstance(value, int) else 0


def make_text() -> str:
    """Return tables with the target's number of client accounts."""
    accounts = {
        f"account-{number}": {
            "key_digests": [
                tables.digest_key(f"{number}-{key}") for key in range(2)
            ],
            "rate": 1_000,
            "burst": 10_000,
        }
        for number in range(ACCOUNTS)
    }
    return BASE + parse.format_rows({"accounts": accounts})


def measure_size(count: int) -> Report:
    """Measure one size of the fleet.

    :param count: how many VMs
    :returns: times in milliseconds, calls, bytes, processor time
    """
    with tempfile.TemporaryDirectory() as folder:
        run = VmFleet(count, pathlib.Path(folder))
        try:
            return _measure_run(run)
        finally:
            run.stop()


def _measure_run(run: VmFleet) -> Report:
    run.wait_for_vms()
    applied = run.admin.apply("bench", make_text(), 0, "first")
    if applied.is_error():
        raise RuntimeError(applied.error.message)
    run.admin.wait(1, 30_000)
    time.sleep(2)
    run.print_usage()
    at_rest = _measure_rest(run)
    run.print_usage()
    written = sum(c.sent for c in run.counts.get_counts().values())
    calls = sum(c.calls for c in run.counts.get_counts().values())
    sent, accepted = _make_edits(run)
    run.print_usage()
    time.sleep(1)
    report = {
        "vms": run.count,
        **at_rest,
        "edit_bytes_written": (
            sum(c.sent for c in run.counts.get_counts().values()) - written
        )
        / EDITS,
        "edit_platform_calls": (
            sum(c.calls for c in run.counts.get_counts().values()) - calls
        )
        / EDITS,
    }
    run.stop()
    return report | _read_times(run, sent, accepted)


def _measure_rest(run: VmFleet) -> Report:
    before = run.read_platform_calls()
    time.sleep(IDLE_S)
    calls = run.read_platform_calls() - before
    return {"rest_platform_calls_per_s": calls / IDLE_S}


def _make_edits(run: VmFleet) -> tuple[dict[int, int], dict[int, int]]:
    """Make edits one after another; every third withdraws a key."""
    sent: dict[int, int] = {}
    accepted: dict[int, int] = {}
    for number in range(EDITS):
        began_ms = run.clock.wall_ms()
        if number % 3 == 0:
            digest = tables.digest_key(f"{number}-0")
            answer = run.admin.revoke_key(
                "bench", f"account-{number}", digest[:12], f"e{number}"
            )
        else:
            values = {"key_digests": [], "rate": number + 1, "burst": 1}
            answer = run.admin.put_row(
                "bench", "accounts", "edited", values, None, f"e{number}"
            )
        if answer.is_error():
            raise RuntimeError(answer.error.message)
        sent[answer.ok.revision] = began_ms
        accepted[answer.ok.revision] = run.clock.wall_ms()
        run.admin.wait(answer.ok.revision, 20_000)
        time.sleep(0.3)
    return sent, accepted


def _read_times(
    run: VmFleet, sent: dict[int, int], accepted: dict[int, int]
) -> Report:
    """A VM that skipped a revision has it from its next one on."""
    everywhere = {
        revision: max(
            min(
                at_ms
                for taken, at_ms in vm.in_force_ms.items()
                if taken >= revision
            )
            for vm in run.vms
        )
        for revision in sent
    }
    times = [everywhere[one] - sent[one] for one in sorted(sent)]
    return {
        "edit_in_force_ms": _describe(times),
        "key_withdrawn_ms": _describe(times[::3]),
        "accepted_ms": _describe([accepted[one] - sent[one] for one in sent]),
        **_read_usages([vm.usages for vm in run.vms]),
    }


def _read_usages(usages: list[list[Report]]) -> Report:
    """Each VM printed before and after the rest, and after the edits."""

    def grow(key: str, first: int) -> float:
        return statistics.mean(
            one[first + 1][key] - one[first][key] for one in usages
        )

    return {
        "rest_cpu_ms_per_s_per_vm": grow("cpu_s", 0) * MS_IN_S / IDLE_S,
        "rest_configuration_bytes_per_s_per_vm": grow("configuration_bytes", 0)
        / IDLE_S,
        "rest_membership_bytes_per_s_per_vm": grow("membership_bytes", 0)
        / IDLE_S,
        "rest_platform_bytes_per_s_per_vm": grow("platform_bytes", 0) / IDLE_S,
        "edit_cpu_ms_per_vm": grow("cpu_s", 1) * MS_IN_S / EDITS,
        "edit_configuration_bytes_per_vm": grow("configuration_bytes", 1)
        / EDITS,
        "edit_platform_bytes_per_vm": grow("platform_bytes", 1) / EDITS,
        "memory_mb_per_vm": statistics.mean(
            one[-1]["memory_kb"] for one in usages
        )
        / KB_IN_MB,
    }


def _describe(times: list[int]) -> Report:
    return {"median": statistics.median(times), "max": max(times)}


def _find(report: Report, key: str) -> float:
    value = report[key]
    return value["max"] if isinstance(value, dict) else value


def measure() -> Report:
    """Measure all sizes and keep the series.

    :returns: reports by size
    """
    reports = {str(count): measure_size(count) for count in SIZES}
    for name, unit, key in SERIES:
        points = [
            (int(size), _find(one, key)) for size, one in reports.items()
        ]
        series.write_series(series.Series(name, COMMAND, "VMs", unit, points))
    return reports


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
