"""Propagation time of table edits and the cost of distributing the tables.

``python -m benchmarks.configuration`` starts real processes on loopback: the
platform stand-in and 3, 9, 27 and 81 VMs without routers.  The administration
API runs in the measuring process.
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
    """A child process that runs ``benchmarks.configuration_vm``.

    :param file: its settings file
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
        """Stop the process and parse its output."""
        self.popen.send_signal(signal.SIGTERM)
        output, _ = self.popen.communicate(timeout=START_S)
        for line in output.splitlines():
            words = line.split(maxsplit=1)
            if words[0].isdecimal():
                self.in_force_ms[int(words[0])] = int(words[1])
            elif line.startswith("{"):
                self.usages.append(json.loads(line))


class VmFleet:
    """The platform stand-in and a number of VMs.

    :param count: number of VMs
    :param folder: directory for the VMs' settings files
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

        :param folder: directory of the file
        :param number: index of the VM
        :returns: path of the file
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
        """Stop the VMs and the platform."""
        for vm in self.vms:
            vm.popen.send_signal(signal.SIGTERM)
        for vm in self.vms:
            vm.stop()
        self.platform.terminate()
        self.platform.wait()
        self.fleet.close()
        self.client.close()

    def wait_for_vms(self) -> None:
        """Wait until all VMs are reachable through the administration."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            states = self.fleet.fetch_vm_states()
            if sum(state.is_reached for state in states) == self.count:
                return
            time.sleep(0.2)
        raise RuntimeError("some VMs were unreachable until the timeout")

    def print_usage(self) -> None:
        """Make each VM print its resource usage so far."""
        for vm in self.vms:
            vm.popen.send_signal(signal.SIGUSR1)

    def read_platform_calls(self) -> int:
        """Return the number of calls that the platform has received."""
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
    """Return tables with the target size's number of client accounts."""
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
    """Measure one fleet size.

    :param count: number of VMs
    :returns: times in ms, calls, bytes and CPU time by name
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
    idle = _measure_idle(run)
    run.print_usage()
    written = sum(c.sent for c in run.counts.get_counts().values())
    calls = sum(c.calls for c in run.counts.get_counts().values())
    sent, accepted = _make_edits(run)
    run.print_usage()
    time.sleep(1)
    report = {
        "vms": run.count,
        **idle,
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
    return report | _collect_times(run, sent, accepted)


def _measure_idle(run: VmFleet) -> Report:
    before = run.read_platform_calls()
    time.sleep(IDLE_S)
    calls = run.read_platform_calls() - before
    return {"rest_platform_calls_per_s": calls / IDLE_S}


def _make_edits(run: VmFleet) -> tuple[dict[int, int], dict[int, int]]:
    """Make edits one after another; every third one revokes a key.

    :param run: the fleet
    :returns: wall-clock times in ms when each revision's edit was sent and
        when it was accepted
    """
    sent: dict[int, int] = {}
    accepted: dict[int, int] = {}
    for number in range(EDITS):
        began_ms = run.clock.wall_ms()
        if number % 3 == 0:
            digest = tables.digest_key(f"{number}-0")
            response = run.admin.revoke_key(
                "bench", f"account-{number}", digest[:12], f"e{number}"
            )
        else:
            values = {"key_digests": [], "rate": number + 1, "burst": 1}
            response = run.admin.put_row(
                "bench", "accounts", "edited", values, None, f"e{number}"
            )
        if response.is_error():
            raise RuntimeError(response.error.message)
        sent[response.ok.revision] = began_ms
        accepted[response.ok.revision] = run.clock.wall_ms()
        run.admin.wait(response.ok.revision, 20_000)
        time.sleep(0.3)
    return sent, accepted


def _collect_times(
    run: VmFleet, sent: dict[int, int], accepted: dict[int, int]
) -> Report:
    """Return how long the edits took, and the VMs' usage.

    A VM may skip a revision; it then has the edit from the next revision on.
    """
    in_force_ms = {
        revision: max(
            min(
                at_ms
                for revision_in_force, at_ms in vm.in_force_ms.items()
                if revision_in_force >= revision
            )
            for vm in run.vms
        )
        for revision in sent
    }
    times = [
        in_force_ms[sent_revision] - sent[sent_revision]
        for sent_revision in sorted(sent)
    ]
    return {
        "edit_in_force_ms": _summarize(times),
        "key_withdrawn_ms": _summarize(times[::3]),
        "accepted_ms": _summarize(
            [
                accepted[sent_revision] - sent[sent_revision]
                for sent_revision in sent
            ]
        ),
        **_summarize_usages([vm.usages for vm in run.vms]),
    }


def _summarize_usages(usages: list[list[Report]]) -> Report:
    """Return mean usage per VM while idle and per edit.

    Each VM printed its usage before and after the idle period, and after the
    edits.
    """

    def mean_increase(key: str, first: int) -> float:
        return statistics.mean(
            vm_usages[first + 1][key] - vm_usages[first][key]
            for vm_usages in usages
        )

    return {
        "rest_cpu_ms_per_s_per_vm": mean_increase("cpu_s", 0)
        * MS_IN_S
        / IDLE_S,
        "rest_configuration_bytes_per_s_per_vm": mean_increase(
            "configuration_bytes", 0
        )
        / IDLE_S,
        "rest_membership_bytes_per_s_per_vm": mean_increase(
            "membership_bytes", 0
        )
        / IDLE_S,
        "rest_platform_bytes_per_s_per_vm": mean_increase("platform_bytes", 0)
        / IDLE_S,
        "edit_cpu_ms_per_vm": mean_increase("cpu_s", 1) * MS_IN_S / EDITS,
        "edit_configuration_bytes_per_vm": mean_increase(
            "configuration_bytes", 1
        )
        / EDITS,
        "edit_platform_bytes_per_vm": mean_increase("platform_bytes", 1)
        / EDITS,
        "memory_mb_per_vm": statistics.mean(
            vm_usages[-1]["memory_kb"] for vm_usages in usages
        )
        / KB_IN_MB,
    }


def _summarize(times: list[int]) -> Report:
    return {"median": statistics.median(times), "max": max(times)}


def _get_figure(report: Report, key: str) -> float:
    value = report[key]
    return value["max"] if isinstance(value, dict) else value


def measure() -> Report:
    """Measure all fleet sizes and store the series.

    :returns: reports by fleet size
    """
    reports = {str(count): measure_size(count) for count in SIZES}
    for name, unit, key in SERIES:
        points = [
            (int(size), _get_figure(report, key))
            for size, report in reports.items()
        ]
        series.write_series(series.Series(name, COMMAND, "VMs", unit, points))
    return reports


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
