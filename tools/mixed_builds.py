"""Runs entry VMs of two builds in one fleet and checks that they interwork.

``python -m tools.mixed_builds --other FOLDER``, where FOLDER is a working copy
of the other build.  The stand-ins and the client side are this working copy's.
Each check prints a line; the exit status is 1 if one failed.  A check that
raises ends all processes.
"""

import collections.abc
import concurrent.futures
import pathlib
import subprocess
import sys
import time
import typing

from absl import app
from absl import flags

from mulberryway.policy import claim_records
from tests import deployment
from tests import hosted_fleet
from tests import processes
from tests import router_fixture

__all__ = ["main"]

FLAGS = flags.FLAGS
VMS = 4
WAIT_S = 10.0
STOP_S = 20.0
# Some seconds, in which accounts get tokens after a restart of all VMs.
TOKENS_S = 20.0
BOOKINGS = 12
CALLS = 160
RATE = 2_000
PLAIN_TOKENS = 200
SIGTERM = 15
# The status of a booking whose first request has no stored result yet.
UNDER_WAY = 409

flags.DEFINE_string("other", None, "a working copy of the other build")


class OtherProcess(processes.Process):
    """A program of the other build.

    :param module: what follows ``python -m``
    :param arguments: the command line
    :param ports: where it listens once it is ready
    :param log: a file that its standard output is added to
    :param root: the working copy that it runs from
    """

    def __init__(
        self,
        module: str,
        arguments: collections.abc.Iterable[str],
        ports: collections.abc.Iterable[int],
        log: pathlib.Path,
        root: pathlib.Path,
    ) -> None:
        self.is_standin = False
        with log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                cwd=root,
                stdin=subprocess.DEVNULL,
                stdout=output,
            )
        self.ports = list(ports)


class Builds:
    """Tells which VMs run the other build.

    :param other: its working copy
    """

    def __init__(self, other: pathlib.Path) -> None:
        self.roots = (processes.ROOT, other)
        self.turn = 0

    def find_root(self, number: int) -> pathlib.Path:
        """Return the working copy that a VM runs from.

        :param number: the VM's number; odd ones run the other build until
            ``turn`` is 1
        """
        return self.roots[(number + self.turn) % 2]

    def start(
        self,
        number: int,
        module: str,
        file: pathlib.Path,
        ports: collections.abc.Iterable[int],
    ) -> processes.Process:
        """Start a VM's program from its build.

        :param number: the VM's number
        :param module: what follows ``python -m``
        :param file: its settings
        :param ports: where it will listen
        """
        log = file.with_suffix(".log")
        return OtherProcess(
            module, [f"--settings={file}"], ports, log, self.find_root(number)
        )


class MixedDeployment(deployment.Deployment):
    """Routers of both builds on the project's own interfaces.

    :param builds: which VM runs which build
    """

    def __init__(self, builds: Builds) -> None:
        self.builds = builds
        super().__init__(vms=VMS)

    def start_router(self, number: int) -> processes.Process:
        """Start a router and return it; it may not listen yet.

        :param number: the VM's number
        """
        self.routers[number] = self.builds.start(
            number,
            "mulberryway.commands.router",
            self.files[number],
            [self.ports[number]],
        )
        self.group.processes.append(self.routers[number])
        return self.routers[number]

    def restart(self) -> None:
        """Stop all routers and start each from the build that is its turn."""
        for router in self.routers:
            router.stop()
        for number in range(VMS):
            self.start_router(number)
        for router in self.routers:
            router.wait_ready()
        processes.wait_until(lambda: all(map(self.is_ready, self.ports)))
        processes.wait_until(
            lambda: all(map(self.has_tokens, self.ports)), TOKENS_S
        )


class MixedFleet(hosted_fleet.Fleet):
    """Entry VMs of both builds on the operators' platform.

    :param builds: which VM runs which build
    """

    def __init__(self, builds: Builds) -> None:
        self.builds = builds
        super().__init__(vms=VMS, rate=RATE)

    def start_vm(
        self, number: int, store_port: int | None = None
    ) -> processes.Process:
        """Start an entry VM and return it; it may not listen yet.

        :param number: the VM's number
        :param store_port: where it reaches the store
        """
        self.vms[number] = self.builds.start(
            number,
            "mulberryway.commands.entry",
            self.write_settings(number, store_port),
            self.ports[number],
        )
        self.group.processes.append(self.vms[number])
        return self.vms[number]


class Checks:
    """Prints and counts the results of checks."""

    def __init__(self) -> None:
        self.failed = 0

    def report(self, name: str, passes: bool, seen: typing.Any = "") -> None:
        """Print a check's result.

        :param name: what was checked
        :param passes: whether it held
        :param seen: what was seen
        """
        self.failed += not passes
        print(f"{'ok    ' if passes else 'FAILED'} {name} {seen}", flush=True)


def check_own_interface(builds: Builds, checks: Checks) -> None:
    """Check routers of both builds on the project's own interfaces.

    :param builds: which VM runs which build
    :param checks: takes the results
    """
    with MixedDeployment(builds) as world:
        rigs = list(map(deployment.RemoteRouter, world.ports))
        _check_requests(rigs, checks)
        _check_members(world, rigs, checks)
        keys = _check_bookings(world, rigs, checks)
        _check_edits(world, rigs, checks)
        builds.turn = 1 - builds.turn
        world.restart()
        _check_repeats(world, rigs, keys, checks)
        _check_requests(rigs, checks)
        _check_stops(world.routers, checks)


def check_platform(builds: Builds, checks: Checks) -> None:
    """Check entry VMs of both builds on the operators' platform.

    :param builds: which VM runs which build
    :param checks: takes the results
    """
    with MixedFleet(builds) as fleet:
        _check_allowance(fleet, checks)
        replies = [
            fleet.send(n, path, f"a-{n}", headers=hosted_fleet.STREAM)
            for n in range(VMS)
            for path in ("/talk/a", "/digest/a", "/book/a", "/plain/a")
        ]
        statuses = [reply.status for reply in replies]
        checks.report(
            "platform: calls and streams of each VM",
            statuses == [200] * len(statuses)
            and not any(reply.is_cut for reply in replies),
            statuses,
        )
        route = hosted_fleet.make_route(
            "r-new", "/new/", "app", "idempotent", 1
        )
        fleet.configure({"k-large": "large"}, [route])
        checks.report(
            "platform: a new route and a withdrawn key on each VM",
            all(_has_changed(fleet, n) for n in range(VMS)),
        )
        fleet.drop("servers", "s0")
        time.sleep(2.0)
        before = len(fleet.list_runs("s0"))
        for n in range(VMS):
            fleet.send(n, "/plain/x", f"d-{n}")
        checks.report(
            "platform: no call to a server that left",
            len(fleet.list_runs("s0")) == before,
        )
        _check_logs(builds, fleet, checks)
        _check_stops(fleet.vms, checks)


def main(arguments: list[str]) -> int:
    """Run all checks, with either half of the VMs on the other build.

    :param arguments: the program's name
    :returns: the exit status
    """
    builds = Builds(pathlib.Path(FLAGS.other).resolve())
    checks = Checks()
    for turn in (0, 1):
        builds.turn = turn
        print(f"VMs 0 to {VMS - 1} run from this build or the other, {turn=}")
        check_platform(builds, checks)
        check_own_interface(builds, checks)
    print(f"{checks.failed} failed")
    return 1 if checks.failed else 0


def _check_requests(
    rigs: list[deployment.RemoteRouter], checks: Checks
) -> None:
    statuses = [rig.complete(f"why {n}").status for n, rig in enumerate(rigs)]
    checks.report("completions of each VM", set(statuses) == {200}, statuses)
    statuses = [rig.call("GET", "/member/x").status for rig in rigs]
    checks.report("plain calls of each VM", set(statuses) == {200}, statuses)
    prompts = [f"log {n}" for n in range(VMS * 4)]

    def is_whole(n: int) -> bool:
        stream = router_fixture.OpenStream(rigs[n % VMS], prompts[n], 12)
        text = router_fixture.join_text(stream.read_all())
        stream.close()
        return text == router_fixture.expect_text(prompts[n], 12)

    with concurrent.futures.ThreadPoolExecutor() as pool:
        whole = list(pool.map(is_whole, range(len(prompts))))
    checks.report("whole streams of each VM", all(whole), sum(whole))


def _check_members(
    world: MixedDeployment, rigs: list[deployment.RemoteRouter], checks: Checks
) -> None:
    expected = {f"127.0.0.1:{port}" for port in world.ports}

    def read(rig: deployment.RemoteRouter) -> set[str]:
        reply = rig.call("GET", "/v1/entry", key="").json()
        return {one["address"] for one in reply["addresses"]}

    for number, rig in enumerate(rigs):
        # Each answer names some of the VMs, chosen at random.
        known: set[str] = set()
        processes.wait_until(
            lambda rig=rig, known=known: (
                known.update(read(rig)) or known == expected
            ),
            WAIT_S,
        )
        checks.report(f"members that VM {number} knows", known == expected)


def _check_bookings(
    world: MixedDeployment, rigs: list[deployment.RemoteRouter], checks: Checks
) -> list[str]:
    """Send bookings to one build and repeat each to the other.

    :returns: the bookings' keys
    """
    keys = [
        claim_records.make_uuid7(time.time_ns() // 1_000_000, number)
        for number in range(BOOKINGS)
    ]
    firsts = [_book(rigs[n % VMS], key) for n, key in enumerate(keys)]
    again = [_book(rigs[(n + 1) % VMS], key) for n, key in enumerate(keys)]
    statuses = [reply.status for reply in (*firsts, *again)]
    checks.report(
        "bookings, and their repeats at the other build",
        set(statuses) == {201}
        and [one.body for one in firsts] == [one.body for one in again],
        statuses,
    )
    _check_runs(world, keys, checks)
    return keys


def _check_repeats(
    world: MixedDeployment,
    rigs: list[deployment.RemoteRouter],
    keys: list[str],
    checks: Checks,
) -> None:
    statuses = [_book(rigs[n % VMS], key).status for n, key in enumerate(keys)]
    checks.report(
        "repeats read from claims that the other build stored",
        set(statuses) == {201},
        statuses,
    )
    _check_runs(world, keys, checks)


def _check_runs(
    world: MixedDeployment, keys: list[str], checks: Checks
) -> None:
    path = "/standin/bookings"
    shown = processes.call(world.service_port, "GET", path).json()["by_key"]
    runs = [shown.get(key, 0) for key in keys]
    checks.report("each booking ran once", set(runs) == {1}, runs)


def _book(rig: deployment.RemoteRouter, key: str) -> processes.Reply:
    """Send a booking, and repeat it while it counts as under way."""

    def send() -> processes.Reply:
        return rig.call("POST", "/bookings", key.encode(), Idempotency_Key=key)

    found: list[processes.Reply] = []
    processes.wait_until(
        lambda: found.append(send()) or found[-1].status != UNDER_WAY, WAIT_S
    )
    return found[-1]


def _check_edits(
    world: MixedDeployment, rigs: list[deployment.RemoteRouter], checks: Checks
) -> None:
    """Submit a change to each build's administration API."""
    for root in world.builds.roots:
        for process in list(world.group.processes):
            if "mulberryway.commands.admin" in process.popen.args:
                process.stop()
                world.group.processes.remove(process)
        admin = OtherProcess(
            "mulberryway.commands.admin",
            [f"--settings={world.files[0]}"],
            [world.admin_port],
            world.files[0].with_suffix(".admin.log"),
            root,
        )
        world.group.processes.append(admin)
        admin.wait_ready()
        rows = world.make_rows()
        del rows["accounts"]["surveyors"]
        for status, tables in ((401, rows), (200, world.make_rows())):
            world.apply(tables)
            seen = [_wait_status(rig, status) for rig in rigs]
            checks.report(
                f"an edit is in force on each VM, from {root.name}",
                set(seen) == {status},
                seen,
            )


def _wait_status(rig: deployment.RemoteRouter, status: int) -> int:
    def read() -> int:
        return rig.complete(key=router_fixture.OTHER_KEY).status

    processes.wait_until(lambda: read() == status, WAIT_S)
    return read()


def _check_allowance(fleet: MixedFleet, checks: Checks) -> None:
    """Send an account's calls to all VMs, several times its rate."""
    time.sleep(1.5)
    began_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        replies = list(
            pool.map(
                lambda n: fleet.send(
                    n % VMS, "/plain/x", f"q-{n}", key="k-small"
                ),
                range(CALLS),
            )
        )
    took_s = time.monotonic() - began_s
    served = sum(reply.status == 200 for reply in replies) * PLAIN_TOKENS
    most = (RATE * took_s + RATE) * 1.1 + RATE
    checks.report(
        "platform: an account's allowance over all VMs",
        RATE < served <= most
        and {reply.status for reply in replies} == {200, 429},
        f"{served} tokens in {took_s:.2f} s",
    )


def _has_changed(fleet: MixedFleet, number: int) -> bool:
    def read() -> tuple[int, int]:
        return (
            fleet.send(number, "/new/x", "n-1").status,
            fleet.send(number, "/plain/x", "n-2", key="k-small").status,
        )

    processes.wait_until(lambda: read() == (200, 401), WAIT_S)
    return read() == (200, 401)


def _check_logs(builds: Builds, fleet: MixedFleet, checks: Checks) -> None:
    """Read all VMs' logs with the tools of both builds."""
    files = [str(fleet.find_log(number)) for number in range(VMS)]
    for module, flag in (("story", ["--id=a-1"]), ("losses", [])):
        command = [
            sys.executable,
            "-m",
            f"mulberryway.commands.{module}",
            *flag,
            *files,
        ]
        texts = [
            subprocess.run(
                command,
                cwd=builds.find_root(number),
                capture_output=True,
                text=True,
                timeout=STOP_S,
            ).stdout
            for number in (0, 1)
        ]
        checks.report(
            f"platform: logs of both builds read by {module} of both",
            texts[0] == texts[1] != "",
            f"{len(texts[0].splitlines())} lines",
        )


def _check_stops(
    vms: collections.abc.Iterable[processes.Process], checks: Checks
) -> None:
    statuses = []
    for vm in vms:
        vm.send_signal(SIGTERM)
        statuses.append(vm.popen.wait(STOP_S))
    checks.report("exit status of each VM's stop", set(statuses) == {0})


if __name__ == "__main__":
    flags.mark_flag_as_required("other")
    app.run(main)
