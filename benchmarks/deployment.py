"""A complete deployment on loopback: stand-ins, entry VMs, administration."""

import collections.abc
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import typing

import tomli_w

from mulberryway import tables
from tests import processes

__all__ = ["Deployment", "ZONES", "is_ready"]

ZONES = ("kandy-a", "matale-b", "nuwara-c")
REGION = "lk-central"
HOST = "127.0.0.1"
MODEL = "m"
OPERATOR = "ann"
OPERATOR_CREDENTIAL = "operator-credential-of-ann"
POOL_CREDENTIAL = "pool-credential"
SECRET = "fleet-secret"
COMMAND_S = 60
ROLES = ("prefill", "prefill", "decode", "decode", "decode", "decode")
SERVICES = 3
SEEDS = 3
RATE = 40_000
BURST = 80_000


class Deployment(processes.Group):
    """Context manager that starts and stops all processes of a deployment.

    :param vms: number of entry VMs
    :param admins: number of these VMs with an administration API
    :param roles: each model engine's role
    :param accounts: each client account's keys
    :param engine_flags: additional flags of the engine stand-in
    :param sections: settings that override the defaults, by section
    """

    def __init__(
        self,
        vms: int = 3,
        admins: int = 3,
        roles: collections.abc.Sequence[str] = ROLES,
        accounts: dict[str, tuple[str, ...]] | None = None,
        engine_flags: collections.abc.Sequence[str] = (),
        sections: dict[str, dict[str, typing.Any]] | None = None,
    ) -> None:
        super().__init__()
        self.accounts = accounts or {}
        self.sections = sections or {}
        self.routers: list[processes.Process] = []
        self.admins: list[processes.Process] = []
        self._folder = tempfile.TemporaryDirectory()
        self._vms = vms
        self._admins = admins
        self._roles = roles
        self._engine_flags = engine_flags
        ports = processes.pick_ports(3 * vms)
        self.router_ports = ports[:vms]
        self.peer_ports = ports[vms : 2 * vms]
        self.admin_ports = ports[2 * vms :]
        self.engine_ports: list[int] = []
        self.service_ports: list[int] = []
        self.platform_port = 0

    def __enter__(self) -> "Deployment":
        try:
            self._start_all()
        except BaseException:
            # __exit__ is not called when __enter__ fails, so stop the
            # processes started so far.
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        _, self.platform_port = processes.start_standin(self, "platform")
        credential = f"--credential={POOL_CREDENTIAL}"
        _, self.engine_ports = processes.start_engines(
            self, self._roles, credential, *self._engine_flags
        )
        self.service_ports = [
            processes.start_standin(self, "service", credential)[1]
            for _ in range(SERVICES)
        ]
        # Start all before waiting: each needs a second or two.
        self.routers = list(map(self.start_router, range(self._vms)))
        self.admins = list(map(self.start_admin, range(self._admins)))
        for process in self.routers + self.admins:
            process.wait_ready()
        self.apply(self.make_tables(), 0)

    def __exit__(self, *_: object) -> None:
        # A graceful shutdown takes seconds and has no callers to protect.
        for router in self.routers:
            router.kill()
        self.stop()
        self._folder.cleanup()

    def start_router(self, number: int) -> processes.Process:
        """Start one VM's router.

        :param number: index of the VM
        :returns: the process, which may not be listening yet
        """
        ports = [self.router_ports[number], self.peer_ports[number]]
        return self._start("mulberryway.commands.router", number, ports)

    def start_admin(self, number: int) -> processes.Process:
        """Start one VM's administration API.

        :param number: index of the VM
        :returns: the process, which may not be listening yet
        """
        ports = [self.admin_ports[number]]
        return self._start("mulberryway.commands.admin", number, ports)

    def _start(
        self, module: str, number: int, ports: list[int]
    ) -> processes.Process:
        flag = f"--settings={self._write_settings(number)}"
        process = processes.Process(module, [flag], ports)
        self.processes.append(process)
        return process

    def make_tables(self) -> dict[str, typing.Any]:
        """Return the initial tables."""
        engines = zip(self._roles, self.engine_ports, strict=True)
        model_pool = {
            "kind": "model",
            "models": [MODEL],
            "credential": POOL_CREDENTIAL,
            "upstreams": dict(_make_upstreams(engines)),
        }
        services = [("service", port) for port in self.service_ports]
        plain_pool = {
            "kind": "plain",
            "credential": POOL_CREDENTIAL,
            "upstreams": dict(_make_upstreams(services)),
        }
        return {
            "routes": {
                "lm": _make_route("/v1/completions", "lm-pool"),
                "member": _make_route("/member", "member-api"),
                "book": _make_route("/bookings", "member-api", False),
            },
            "pools": {"lm-pool": model_pool, "member-api": plain_pool},
            "accounts": {
                name: {
                    "key_digests": [tables.digest_key(key) for key in keys],
                    "rate": RATE,
                    "burst": BURST,
                }
                for name, keys in self.accounts.items()
            },
        }

    def apply(self, values: dict[str, typing.Any], revision: int) -> None:
        """Replace all tables and wait until they are in force.

        :param values: content of the tables
        :param revision: the revision that they are based on
        """
        file = self.write("tables.toml", values)
        self.run_admin_command(f"--revision={revision}", "apply", file)
        self.run_admin_command("wait")
        # A VM with tables is ready only once the platform has confirmed them.
        processes.wait_until(lambda: all(map(is_ready, self.router_ports)))

    def write(self, name: str, values: dict[str, typing.Any]) -> str:
        """Write a TOML file to the deployment's temporary directory.

        :param name: the file's name
        :param values: its content
        :returns: the file's path
        """
        file = pathlib.Path(self._folder.name) / name
        file.write_text(tomli_w.dumps(values), encoding="utf-8")
        return str(file)

    def run_admin_command(self, *words: str) -> dict[str, typing.Any]:
        """Run the operators' command-line tool.

        :param words: the command and its arguments
        :returns: its decoded output
        :raises RuntimeError: if it fails
        """
        ports = self.admin_ports[: self._admins]
        urls = ",".join(f"http://{HOST}:{port}" for port in ports)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "mulberryway.commands.operate",
                f"--url={urls}",
                "--json",
                *words,
            ],
            cwd=processes.ROOT,
            env={**os.environ, "MULBERRYWAY_CREDENTIAL": OPERATOR_CREDENTIAL},
            capture_output=True,
            text=True,
            timeout=COMMAND_S,
        )
        if done.returncode:
            raise RuntimeError(f"{words}: {done.stdout}{done.stderr}")
        return json.loads(done.stdout)

    def _write_settings(self, number: int) -> str:
        defaults: dict[str, dict[str, typing.Any]] = {
            "vm": {
                "name": f"vm{number}",
                "zone": ZONES[number % len(ZONES)],
                "region": REGION,
            },
            "router": {"port": self.router_ports[number]},
            "peers": {
                "port": self.peer_ports[number],
                "secret": SECRET,
                "seeds": [
                    f"{HOST}:{port}" for port in self.peer_ports[:SEEDS]
                ],
            },
            "platform": {"url": f"http://{HOST}:{self.platform_port}"},
            "telemetry": {"log_level": "ERROR"},
            "admin": {
                "port": self.admin_ports[number],
                "operators": {
                    OPERATOR: tables.digest_key(OPERATOR_CREDENTIAL)
                },
            },
        }
        values = {
            name: {**defaults.get(name, {}), **self.sections.get(name, {})}
            for name in {**defaults, **self.sections}
        }
        return self.write(f"vm{number}.toml", values)


def is_ready(port: int) -> bool:
    """Return whether a router accepts new callers.

    :param port: the router's port
    :returns: whether its readiness endpoint reports it as ready
    """
    return processes.call(port, "GET", "/readyz").status == 200


def _make_upstreams(
    ports: collections.abc.Iterable[tuple[str, int]],
) -> collections.abc.Iterator[tuple[str, dict[str, str]]]:
    for number, (role, port) in enumerate(ports):
        yield (
            f"{role}-{number}",
            {
                "address": f"{HOST}:{port}",
                "zone": ZONES[number % len(ZONES)],
                "role": role,
            },
        )


def _make_route(
    path_prefix: str, pool: str, idempotent: bool = True
) -> dict[str, typing.Any]:
    return {
        "path_prefix": path_prefix,
        "pool": pool,
        "idempotent": idempotent,
    }
