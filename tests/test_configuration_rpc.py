"""Tests of fetching tables from other VMs over real connections."""

import random
import unittest

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway import settings
from mulberryway.admin import editor
from mulberryway.controllers import configuration
from mulberryway.controllers import configuration_handler
from mulberryway.controllers import configuration_peers
from mulberryway.controllers import configuration_rpc
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.tables import changes
from mulberryway.tables import edits
from mulberryway.tables import parse
from tests import fakes
from tests import samples

SECRET = "fleet secret"
TIMEOUT_MS = 10_000


class RpcTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.SystemClock()
        self.store = fakes.MemoryStore()
        self.client = peers.PeerClient(SECRET, self.clock, TIMEOUT_MS)
        self.addCleanup(self.client.close)
        self.others = []
        self.first = self.make_vm("a", self.store)
        handler = configuration_handler.ConfigurationHandler(
            self.first, self.clock
        )
        server = peers.PeerServer(
            "127.0.0.1",
            0,
            SECRET,
            {"Configuration": Configuration.Processor(handler)},
            self.clock,
        )
        server.start()
        self.addCleanup(server.stop)
        self.address = f"127.0.0.1:{server.port}"

    def make_vm(self, name, store):
        settings_ = settings.Settings()
        settings_.vm_name = name
        source = configuration_rpc.RpcPeerSource(
            self.client, lambda: self.others
        )
        return configuration.Configuration(
            settings_, store, source, self.clock, random.Random(1)
        )

    def apply(self):
        rows = parse.encode_tables(samples.make_tables())
        edit = edits.Edit("e1", "op", (changes.ReplaceAll(rows),))
        accepted = editor.Editor(self.store, self.clock, random.Random(1))
        self.assertTrue(accepted.submit(edit, TIMEOUT_MS).is_ok())

    def test_start_in_an_outage(self):
        """A VM starts while the platform is unreachable.

        It must get the tables from another VM, with the age of that VM's
        confirmation, or it would reject callers until the outage ends.
        """
        self.apply()
        self.assertTrue(self.first.read_platform())
        down = fakes.MemoryStore()
        down.outage = True
        second = self.make_vm("b", down)
        self.others = [configuration_peers.PeerVm("a", "z", "r", self.address)]
        second.step()
        tables = second.active_tables.get_tables()
        self.assertEqual(tables.revision, 1)
        self.assertEqual(
            parse.encode_tables(tables),
            parse.encode_tables(samples.make_tables()),
        )
        self.assertLessEqual(
            second.active_tables.confirmation.at_ms,
            self.first.active_tables.confirmation.at_ms,
        )

    def test_start_alone_in_an_outage(self):
        """A VM starts and reaches neither the platform nor other VMs.

        It must have no tables, because it cannot know which keys are valid.
        """
        self.store.outage = True
        self.first.step()
        self.assertIsNone(self.first.active_tables.get_tables())

    def test_wrong_secret(self):
        """A client with a wrong secret requests the tables.

        It must not get them, because they contain upstreams' credentials.
        """
        client = peers.PeerClient("guess", self.clock, TIMEOUT_MS)
        self.addCleanup(client.close)
        answer = configuration_rpc.RpcPeerSource(client, list).read_root(
            self.address, 0
        )
        self.assertIsInstance(answer, expression.Result)
        self.assertEqual(answer.error.code, errors.Code.PEER_UNREACHABLE)
