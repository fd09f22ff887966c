"""Starts a platform stand-in, routers and administration APIs as processes."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

import tomli_w

from tests import processes
from tests import samples

CREDENTIAL = "operator-credential"
ZONES = ("kandy-a", "matale-b", "nuwara-c")
TIMEOUT_S = 60


class ConfigurationFleet(processes.Group):
    """Context manager that starts and stops the processes of a fleet.

    :param vms: number of VMs
    :param admins: number of these VMs with an administration API
    :param options: additional settings by section
    """

    def __init__(self, vms, admins=1, **options):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.options = options
        ports = processes.pick_ports(3 * vms)
        self.peer_ports, self.admin_ports = ports[:vms], ports[vms : 2 * vms]
        self.router_ports = ports[2 * vms :]
        self.platform_port = None
        self.count, self.admins = vms, admins
        self.vms = []

    def __enter__(self):
        _, self.platform_port = processes.start_standin(self, "platform")
        self.vms = [self.start_vm(number) for number in range(self.count)]
        for number in range(self.admins):
            self.start_admin(number)
        return self

    def __exit__(self, *_):
        # Kill the processes: these tests do not cover graceful shutdown.
        for process in self.processes:
            process.kill()
        self.folder.cleanup()

    def start_vm(self, number):
        return self.start(
            "mulberryway.commands.router",
            f"--settings={self.write_settings(number)}",
            ports=[self.peer_ports[number], self.router_ports[number]],
        )

    def start_admin(self, number):
        return self.start(
            "mulberryway.commands.admin",
            f"--settings={self.write_settings(number)}",
            ports=[self.admin_ports[number]],
        )

    def write_settings(self, number):
        sections = {
            "vm": {
                "name": f"vm{number}",
                "zone": ZONES[number % len(ZONES)],
                "region": "lk-central",
            },
            "router": {"port": self.router_ports[number], "threads": 4},
            "peers": {
                "port": self.peer_ports[number],
                "secret": "fleet secret",
                "seeds": [f"127.0.0.1:{port}" for port in self.peer_ports[:3]],
                **self.options.get("peers", {}),
            },
            "platform": {"url": f"http://127.0.0.1:{self.platform_port}"},
            "telemetry": {"log_level": "ERROR"},
            "configuration": self.options.get("configuration", {}),
            "admin": {
                "port": self.admin_ports[number],
                "operators": {"ann": samples.digest(CREDENTIAL)},
            },
        }
        file = pathlib.Path(self.folder.name) / f"vm{number}.toml"
        file.write_text(tomli_w.dumps(sections))
        return file

    def write(self, name, text):
        file = pathlib.Path(self.folder.name) / name
        file.write_text(text)
        return str(file)

    def run_admin_command(self, *words, admin=0, credential=CREDENTIAL):
        """Run the operators' tool; return its exit status and output."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "mulberryway.commands.operate",
                f"--url=http://127.0.0.1:{self.admin_ports[admin]}",
                "--json",
                *words,
            ],
            cwd=processes.ROOT,
            env={**os.environ, "MULBERRYWAY_CREDENTIAL": credential},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        output = (
            json.loads(completed.stdout)
            if completed.stdout
            else completed.stderr
        )
        return completed.returncode, output

    def call_admin(self, method, path, body=None, admin=0):
        """Send a request to an administration API."""
        return processes.call(
            self.admin_ports[admin],
            method,
            path,
            body,
            {"Authorization": f"Bearer {CREDENTIAL}"},
            timeout_s=TIMEOUT_S,
        )

    def call_router(self, number, key):
        """Send a plain call with a key to one VM; return the status."""
        return processes.call(
            self.router_ports[number],
            "GET",
            "/member/renewals",
            headers={"Authorization": f"Bearer {key}"},
            timeout_s=TIMEOUT_S,
        ).status

    def call_platform(self, method, path, body=None):
        """Send a request to the platform stand-in."""
        return processes.call(self.platform_port, method, path, body)

    def fault(self, **faults):
        """Set faults of the platform stand-in."""
        processes.call(self.platform_port, "POST", "/standin/faults", faults)
