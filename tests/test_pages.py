"""Tests of the settings, tables and commands on the operators' pages."""

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from mulberryway import settings
from mulberryway import tables
from tests import processes

PAGES = processes.ROOT / "docs" / "operators"
CREDENTIAL = "the operator's credential"
MODULES = {
    "mulberryway": "mulberryway.commands.operate",
    "mulberryway-check": "mulberryway.commands.check",
}
TIMEOUT_S = 60
BLOCK = re.compile(r"```(\w+)\n(.*?)```", re.DOTALL)


def read_blocks(page, kind):
    """Return the code blocks of one language on a page, in order."""
    text = (PAGES / page).read_text(encoding="utf-8")
    return [body for name, body in BLOCK.findall(text) if name == kind]


class SetupPageTest(unittest.TestCase):
    """Runs the commands of the setup page in order."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.group = processes.Group()
        self.addCleanup(self.group.stop)
        _, self.platform = processes.start_standin(self.group, "platform")
        self.router, self.peers, self.admin = processes.pick_ports(3)
        self.write_settings()
        (self.folder / "tables.toml").write_text(
            read_blocks("tables.md", "toml")[0], encoding="utf-8"
        )

    def write_settings(self):
        """Write the settings of the page with free ports."""
        text = read_blocks("setup.md", "toml")[0]
        replacements = {
            "port = 8080": f"port = {self.router}",
            "8081": str(self.peers),
            "8001": str(self.platform),
            "port = 8082": f"port = {self.admin}",
            re.search(r"[0-9a-f]{64}", text)[0]: tables.digest_key(CREDENTIAL),
        }
        for old in replacements:
            self.assertIn(old, text)
        # In one pass, because a free port may contain another one's digits.
        text = re.sub(
            "|".join(map(re.escape, replacements)),
            lambda match: replacements[match[0]],
            text,
        )
        (self.folder / "vm.toml").write_text(text, encoding="utf-8")

    def run_command(self, line):
        name, *words = line.split()
        environment = {
            **os.environ,
            "PYTHONPATH": str(processes.ROOT),
            "MULBERRYWAY_URL": f"http://127.0.0.1:{self.admin}",
            "MULBERRYWAY_CREDENTIAL": CREDENTIAL,
        }
        return subprocess.run(
            [sys.executable, "-m", MODULES[name], *words],
            cwd=self.folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )

    def test_setup_page(self):
        flag = f"--settings={self.folder / 'vm.toml'}"
        for name, ports in (
            ("router", [self.router, self.peers]),
            ("admin", [self.admin]),
        ):
            self.group.start(f"mulberryway.commands.{name}", flag, ports=ports)
        commands = [
            line.removeprefix("$ ")
            for block in read_blocks("setup.md", "console")
            for line in block.splitlines()
            if line.startswith("$ ")
        ]
        self.assertGreater(len(commands), 5)
        for line in commands:
            with self.subTest(line):
                done = self.run_command(line)
                self.assertEqual(done.returncode, 0, done.stderr)
        self.assertTrue(
            processes.wait_until(
                lambda: (
                    processes.call(self.router, "GET", "/readyz").status == 200
                )
            )
        )


class SettingsInPagesTest(unittest.TestCase):
    def test_every_setting_named_in_a_page_exists(self):
        known = {option.key for option in settings.OPTIONS}
        sections = {key.partition(".")[0] for key in known}
        named = {
            (page.name, key)
            for page in PAGES.glob("*.md")
            for key in re.findall(
                r"`([a-z]+\.[a-z_]+)`", page.read_text(encoding="utf-8")
            )
            if key.partition(".")[0] in sections
        }
        self.assertGreater(len(named), 5)
        unknown = {(page, key) for page, key in named if key not in known}
        self.assertEqual(unknown, set())
