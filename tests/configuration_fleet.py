"""Processes: a platform stand-in, VMs that hold tables, and their APIs."""

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
GUARD_S = 60


class ConfigurationFleet(processes.Group):
    """Use it as a context manager.

    :param vms: how many VMs
    :param admins: on how many of them an administration API runs
    :param options: further settings by section
    """

    def __init__(self, vms, admins=1, **options):
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.options = options
        ports = processes.pick_ports(2 * vms)
        self.peer_ports, self.admin_ports = ports[:vms], ports[vms:]
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
        self.stop()
        self.folder.cleanup()

    def start_vm(self, number):
        return self.start(
            "benchmarks.configuration_vm",
            f"--settings={self.write_settings(number)}",
            ports=[self.peer_ports[number]],
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

    def operate(self, *words, admin=0, credential=CREDENTIAL):
        """Run the operators' command; return its status and its answer."""
        done = subprocess.run(
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
            timeout=GUARD_S,
        )
        answer = json.loads(done.stdout) if done.stdout else done.stderr
        return done.returncode, answer

    def call_admin(self, method, path, body=None, admin=0):
        """Call an administration API directly."""
        return processes.call(
            self.admin_ports[admin],
            method,
            path,
            body,
            {"Authorization": f"Bearer {CREDENTIAL}"},
            timeout_s=GUARD_S,
        )

    def fault(self, **faults):
        """Switch the platform stand-in's faults."""
        processes.call(self.platform_port, "POST", "/standin/faults", faults)
