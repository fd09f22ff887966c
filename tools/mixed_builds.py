"""Runs VMs of two builds in one fleet and checks their interoperability.

``python -m tools.mixed_builds --other FOLDER``, where FOLDER is a working copy
of the other build.  The stand-ins and the clients run from this working copy.
Each check prints a line; the exit status is 1 if one failed.  A check that
raises an exception ends all processes.
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
WAIT_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 20.0
# Time until accounts have tokens again after a restart of all VMs.
TOKENS_TIMEOUT_S = 20.0
BOOKINGS = 12
CALLS = 160
RATE = 2_000
PLAIN_TOKENS = 200
# The margin that the fleet's settings allow an account in one window, over all
# VMs, beyond its rate and burst.
WINDOW_S = 8
# A return of the store from a copy, and the time for a change after it.
LOST_WRITES = 40
POLL_S = 3.0
AWAY_S = 0.8
APPLY_S = 2.0
OVER_FRACTION = 0.1
OVER_TOKENS = 2_000
SIGTERM = 15
# Status of a booking whose first request has no stored result yet.
IN_PROGRESS_STATUS = 409

flags.DEFINE_string("other", None, "working copy of the other build")


class OtherProcess(processes.Process):
    """Process that runs a program from a given working copy.

    :param module: name of the program's module
    :param arguments: command-line arguments
    :param ports: ports that it listens on once it is ready
    :param log: file that its standard output is appended to
    :param root: working copy that it runs from
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
    """Assignment of builds to VMs.

    :param other: working copy of the other build
    """

    def __init__(self, other: pathlib.Path) -> None:
        self.roots = (processes.ROOT, other)
        self.turn = 0

    def find_root(self, number: int) -> pathlib.Path:
        """Return the working copy that a VM runs from.

        :param number: number of the VM; odd numbers run the other build while
            ``turn`` is 0, even numbers while it is 1
        """
        return self.roots[(number + self.turn) % 2]

    def start(
        self,
        number: int,
        module: str,
        file: pathlib.Path,
        ports: collections.abc.Iterable[int],
    ) -> processes.Process:
        """Start a VM's program from its assigned build.

        :param number: number of the VM
        :param module: name of the program's module
        :param file: settings file
        :param ports: ports that it will listen on
        """
        log = file.with_suffix(".log")
        return OtherProcess(
            module, [f"--settings={file}"], ports, log, self.find_root(number)
        )


class MixedDeployment(deployment.Deployment):
    """Deployment of routers of both builds on the project's own interfaces.

    :param builds: assignment of builds to VMs
    """

    def __init__(self, builds: Builds) -> None:
        self.builds = builds
        super().__init__(vms=VMS)

    def start_router(self, number: int) -> processes.Process:
        """Start a router and return it before it listens.

        :param number: number of the VM
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
        """Stop all routers and start each from its assigned build."""
        for router in self.routers:
            router.stop()
        for number in range(VMS):
            self.start_router(number)
        for router in self.routers:
            router.wait_ready()
        processes.wait_until(lambda: all(map(self.is_ready, self.ports)))
        processes.wait_until(
            lambda: all(map(self.has_tokens, self.ports)), TOKENS_TIMEOUT_S
        )


class MixedFleet(hosted_fleet.Fleet):
    """Fleet of entry VMs of both builds on the operators' platform.

    :param builds: assignment of builds to VMs
    """

    def __init__(self, builds: Builds) -> None:
        self.builds = builds
        super().__init__(vms=VMS, rate=RATE)

    def start_vm(
        self, number: int, store_port: int | None = None
    ) -> processes.Process:
        """Start an entry VM and return it before it listens.

        :param number: number of the VM
        :param store_port: port that it reaches the store on
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

    def report(
        self, name: str, has_passed: bool, seen: typing.Any = ""
    ) -> None:
        """Print and count the result of a check.

        :param name: description of the check
        :param has_passed: whether it passed
        :param seen: observed values
        """
        self.failed += not has_passed
        print(
            f"{'ok    ' if has_passed else 'FAILED'} {name} {seen}", flush=True
        )


def check_own_interface(builds: Builds, checks: Checks) -> None:
    """Check routers of both builds on the project's own interfaces.

    :param builds: assignment of builds to VMs
    :param checks: receives the results
    """
    with MixedDeployment(builds) as mixed_deployment:
        clients = list(map(deployment.RemoteRouter, mixed_deployment.ports))
        _check_requests(clients, checks)
        _check_members(mixed_deployment, clients, checks)
        keys = _check_bookings(mixed_deployment, clients, checks)
        _check_edits(mixed_deployment, clients, checks)
        builds.turn = 1 - builds.turn
        mixed_deployment.restart()
        _check_retries(mixed_deployment, clients, keys, checks)
        _check_requests(clients, checks)
        _check_stops(mixed_deployment.routers, checks)


def check_platform(builds: Builds, checks: Checks) -> None:
    """Check entry VMs of both builds on the operators' platform.

    :param builds: assignment of builds to VMs
    :param checks: receives the results
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
            "platform: calls and streams through each VM",
            statuses == [200] * len(statuses)
            and not any(reply.is_cut for reply in replies),
            statuses,
        )
        route = hosted_fleet.make_route(
            "r-new", "/new/", "app", "idempotent", 1
        )
        fleet.configure({"k-large": "large"}, [route])
        checks.report(
            "platform: a new route and a revoked key on each VM",
            all(_has_changed(fleet, n) for n in range(VMS)),
        )
        fleet.drop("servers", "s0")
        time.sleep(2.0)
        previous_count = len(fleet.list_runs("s0"))
        for n in range(VMS):
            fleet.send(n, "/plain/x", f"d-{n}")
        checks.report(
            "platform: no call to a removed server",
            len(fleet.list_runs("s0")) == previous_count,
        )
        _check_return(builds, fleet, checks)
        _check_logs(builds, fleet, checks)
        _check_stops(fleet.vms, checks)


def _check_return(builds: Builds, fleet: MixedFleet, checks: Checks) -> None:
    """Check this build's VMs after the store's return from a copy.

    The other build may know no eras and then misses what comes after it.
    """
    fleet.copy_store()
    for number in range(LOST_WRITES):
        fleet.put("notes", f"n{number}", {})
    time.sleep(POLL_S)
    fleet.restore_store(AWAY_S)
    route = hosted_fleet.make_route(
        "r-newer", "/newer/", "app", "idempotent", 1
    )
    fleet.configure({"k-large": "large"}, [route])
    time.sleep(APPLY_S)
    own = [n for n in range(VMS) if builds.find_root(n) == processes.ROOT]
    statuses = [
        fleet.send(n, "/newer/x", f"r-{n}-{count}").status
        for count in range(3)
        for n in own
    ]
    checks.report(
        "platform: a new route after a return of the store, on main",
        set(statuses) == {200},
        statuses,
    )


def main(arguments: list[str]) -> int:
    """Run all checks twice, with each half of the VMs on the other build.

    :param arguments: remaining command-line arguments
    :returns: exit status
    """
    builds = Builds(pathlib.Path(FLAGS.other).resolve())
    checks = Checks()
    for turn in (0, 1):
        builds.turn = turn
        print(f"VMs 0 to {VMS - 1} alternate between the two builds, {turn=}")
        check_platform(builds, checks)
        check_own_interface(builds, checks)
    print(f"{checks.failed} failed")
    return 1 if checks.failed else 0


def _check_requests(
    clients: list[deployment.RemoteRouter], checks: Checks
) -> None:
    statuses = [
        client.complete(f"why {n}").status for n, client in enumerate(clients)
    ]
    checks.report(
        "completions through each VM", set(statuses) == {200}, statuses
    )
    statuses = [client.call("GET", "/member/x").status for client in clients]
    checks.report(
        "calls to a non-model service through each VM",
        set(statuses) == {200},
        statuses,
    )
    prompts = [f"log {n}" for n in range(VMS * 4)]

    def is_complete(n: int) -> bool:
        stream = router_fixture.OpenStream(clients[n % VMS], prompts[n], 12)
        text = router_fixture.join_text(stream.read_all())
        stream.close()
        return text == router_fixture.expect_text(prompts[n], 12)

    with concurrent.futures.ThreadPoolExecutor() as pool:
        complete = list(pool.map(is_complete, range(len(prompts))))
    checks.report(
        "complete streams through each VM", all(complete), sum(complete)
    )


def _check_members(
    mixed_deployment: MixedDeployment,
    clients: list[deployment.RemoteRouter],
    checks: Checks,
) -> None:
    expected = {f"127.0.0.1:{port}" for port in mixed_deployment.ports}

    def read(client: deployment.RemoteRouter) -> set[str]:
        reply = client.call("GET", "/v1/entry", key="").json()
        return {address["address"] for address in reply["addresses"]}

    for number, client in enumerate(clients):
        # Each response contains a random subset of the VMs.
        known: set[str] = set()
        processes.wait_until(
            lambda client=client, known=known: (
                known.update(read(client)) or known == expected
            ),
            WAIT_TIMEOUT_S,
        )
        checks.report(f"members that VM {number} lists", known == expected)


def _check_bookings(
    mixed_deployment: MixedDeployment,
    clients: list[deployment.RemoteRouter],
    checks: Checks,
) -> list[str]:
    """Send bookings to one build and retry each at the other.

    :returns: idempotency keys of the bookings
    """
    keys = [
        claim_records.make_uuid7(time.time_ns() // 1_000_000, number)
        for number in range(BOOKINGS)
    ]
    first_replies = [
        _book(clients[n % VMS], key) for n, key in enumerate(keys)
    ]
    retry_replies = [
        _book(clients[(n + 1) % VMS], key) for n, key in enumerate(keys)
    ]
    statuses = [reply.status for reply in (*first_replies, *retry_replies)]
    checks.report(
        "bookings, and their retries at the other build",
        set(statuses) == {201}
        and [reply.body for reply in first_replies]
        == [reply.body for reply in retry_replies],
        statuses,
    )
    _check_runs(mixed_deployment, keys, checks)
    return keys


def _check_retries(
    mixed_deployment: MixedDeployment,
    clients: list[deployment.RemoteRouter],
    keys: list[str],
    checks: Checks,
) -> None:
    statuses = [
        _book(clients[n % VMS], key).status for n, key in enumerate(keys)
    ]
    checks.report(
        "retries answered from claims that the other build stored",
        set(statuses) == {201},
        statuses,
    )
    _check_runs(mixed_deployment, keys, checks)


def _check_runs(
    mixed_deployment: MixedDeployment, keys: list[str], checks: Checks
) -> None:
    path = "/standin/bookings"
    bookings_by_key = processes.call(
        mixed_deployment.service_port, "GET", path
    ).json()["by_key"]
    runs = [bookings_by_key.get(key, 0) for key in keys]
    checks.report("each booking ran once", set(runs) == {1}, runs)


def _book(client: deployment.RemoteRouter, key: str) -> processes.Reply:
    """Send a booking, and retry it while its result is not stored."""

    def send() -> processes.Reply:
        return client.call(
            "POST", "/bookings", key.encode(), Idempotency_Key=key
        )

    replies: list[processes.Reply] = []
    processes.wait_until(
        lambda: (
            replies.append(send()) or replies[-1].status != IN_PROGRESS_STATUS
        ),
        WAIT_TIMEOUT_S,
    )
    return replies[-1]


def _check_edits(
    mixed_deployment: MixedDeployment,
    clients: list[deployment.RemoteRouter],
    checks: Checks,
) -> None:
    """Submit an edit to the administration API of each build."""
    for root in mixed_deployment.builds.roots:
        for process in list(mixed_deployment.group.processes):
            if "mulberryway.commands.admin" in process.popen.args:
                process.stop()
                mixed_deployment.group.processes.remove(process)
        admin = OtherProcess(
            "mulberryway.commands.admin",
            [f"--settings={mixed_deployment.files[0]}"],
            [mixed_deployment.admin_port],
            mixed_deployment.files[0].with_suffix(".admin.log"),
            root,
        )
        mixed_deployment.group.processes.append(admin)
        admin.wait_ready()
        rows = mixed_deployment.make_rows()
        del rows["accounts"]["surveyors"]
        for status, tables in (
            (401, rows),
            (200, mixed_deployment.make_rows()),
        ):
            mixed_deployment.apply(tables)
            statuses = [_wait_status(client, status) for client in clients]
            checks.report(
                f"an edit is active on each VM, from {root.name}",
                set(statuses) == {status},
                statuses,
            )


def _wait_status(client: deployment.RemoteRouter, status: int) -> int:
    def read() -> int:
        return client.complete(key=router_fixture.OTHER_KEY).status

    processes.wait_until(lambda: read() == status, WAIT_TIMEOUT_S)
    return read()


def _check_allowance(fleet: MixedFleet, checks: Checks) -> None:
    """Send calls of one account to all VMs at several times its rate."""
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
    duration_s = time.monotonic() - began_s
    served = sum(reply.status == 200 for reply in replies) * PLAIN_TOKENS
    margin = (RATE * WINDOW_S + RATE) * OVER_FRACTION + OVER_TOKENS
    max_tokens = RATE * duration_s + RATE + margin
    checks.report(
        "platform: an account's allowance over all VMs",
        RATE < served <= max_tokens
        and {reply.status for reply in replies} == {200, 429},
        f"{served} tokens in {duration_s:.2f} s",
    )


def _has_changed(fleet: MixedFleet, number: int) -> bool:
    def read() -> tuple[int, int]:
        return (
            fleet.send(number, "/new/x", "n-1").status,
            fleet.send(number, "/plain/x", "n-2", key="k-small").status,
        )

    processes.wait_until(lambda: read() == (200, 401), WAIT_TIMEOUT_S)
    return read() == (200, 401)


def _check_logs(builds: Builds, fleet: MixedFleet, checks: Checks) -> None:
    """Read the logs of all VMs with the tools of both builds."""
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
                timeout=STOP_TIMEOUT_S,
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
        statuses.append(vm.popen.wait(STOP_TIMEOUT_S))
    checks.report("exit status of each VM after SIGTERM", set(statuses) == {0})


if __name__ == "__main__":
    flags.mark_flag_as_required("other")
    app.run(main)
