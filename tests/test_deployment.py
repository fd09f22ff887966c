"""The whole path over real processes: three entry VMs and an operator."""

import concurrent.futures
import unittest

from tests import deployment
from tests import processes
from tests import router_fixture

STREAMS = 200


class DeploymentTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.world = deployment.Deployment()
        cls.addClassCleanup(cls.world.__exit__)
        cls.world.__enter__()
        cls.rigs = list(map(deployment.RemoteRouter, cls.world.ports))

    def test_streams_over_three_vms(self):
        """Many callers read at once; a byte of another's answer, or a
        missing one, would reach a caller unnoticed.
        """

        def read(number):
            prompt = f"station log {number}"
            rig = self.rigs[number % len(self.rigs)]
            stream = router_fixture.OpenStream(rig, prompt, 12)
            events = stream.read_all()
            stream.close()
            return router_fixture.join_text(
                events
            ) == router_fixture.expect_text(prompt, 12)

        with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
            whole = sum(callers.map(read, range(STREAMS)))
        self.assertEqual(whole, STREAMS)

    def test_entry_names_all_vms(self):
        def read():
            reply = self.rigs[0].call("GET", "/v1/entry", key="")
            return {one["zone"] for one in reply.json()["addresses"]}

        self.assertTrue(processes.wait_until(lambda: len(read()) > 1))

    def test_withdrawn_key_everywhere(self):
        """An operator withdraws a key while its caller reads a stream.  The
        caller must lose the stream visibly, and be refused on every VM.
        """
        stream = router_fixture.OpenStream(
            self.rigs[1], "long", 5_000, router_fixture.OTHER_KEY
        )
        self.assertIn("choices", stream.read_event())
        rows = self.world.make_rows()
        del rows["accounts"]["surveyors"]
        self.world.apply(rows)
        for rig in self.rigs:
            processes.wait_until(
                lambda rig=rig: (
                    rig.complete(key=router_fixture.OTHER_KEY).status == 401
                )
            )
            reply = rig.complete(key=router_fixture.OTHER_KEY)
            self.assertEqual(reply.status, 401)
            self.assertEqual(rig.complete().status, 200)
        events = stream.read_all()
        self.assertEqual(events[-1]["error"]["code"], "unauthenticated")
        self.assertTrue(
            processes.wait_until(
                lambda: (
                    not any(
                        map(router_fixture.list_held, self.world.engine_ports)
                    )
                )
            )
        )
        self.world.apply(self.world.make_rows())


class StopTest(unittest.TestCase):
    def test_planned_stop_cuts_nothing(self):
        """A VM is replaced while callers read from it.  It must leave the
        entry answers, serve on, end what runs, and exit with 0.
        """
        with deployment.Deployment() as world:
            rig = deployment.RemoteRouter(world.ports[0])
            other = deployment.RemoteRouter(world.ports[1])
            stream = router_fixture.OpenStream(rig, "long", 800)
            self.assertIn("choices", stream.read_event())
            world.routers[0].send_signal(15)
            processes.wait_until(
                lambda: rig.call("GET", "/readyz", key="").status == 503
            )
            self.assertEqual(rig.complete("late").status, 200)
            left = f"127.0.0.1:{world.ports[0]}"
            self.assertTrue(
                processes.wait_until(
                    lambda: (
                        left
                        not in str(
                            other.call("GET", "/v1/entry", key="").json()
                        )
                    )
                )
            )
            refused = processes.wait_until(
                lambda: self.find_refusal(rig.complete("too late"))
            )
            self.assertEqual(refused["code"], "stopping")
            self.assertEqual(refused["run"], "not_run")
            events = stream.read_all()
            self.assertEqual(events[-1], "[DONE]")
            self.assertEqual(len(events), 801 - 1)
            self.assertEqual(world.routers[0].popen.wait(30), 0)

    @staticmethod
    def find_refusal(reply):
        return reply.json()["error"] if reply.status == 503 else None
