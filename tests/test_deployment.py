"""End-to-end tests with real processes: three entry VMs and an operator."""

import concurrent.futures
import unittest

from tests import deployment
from tests import processes
from tests import router_fixture

STREAMS = 200


class DeploymentTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = deployment.Deployment()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.fleet.__enter__()
        cls.remotes = list(map(deployment.RemoteRouter, cls.fleet.ports))

    def test_streams_over_three_vms(self):
        """Many concurrent streams get exactly their own text.

        It guards against missing bytes and bytes of another stream, which a
        caller would not notice.
        """

        def read(number):
            prompt = f"station log {number}"
            remote = self.remotes[number % len(self.remotes)]
            stream = router_fixture.OpenStream(remote, prompt, 12)
            events = stream.read_all()
            stream.close()
            return router_fixture.join_text(
                events
            ) == router_fixture.expect_text(prompt, 12)

        with concurrent.futures.ThreadPoolExecutor(STREAMS) as callers:
            correct = sum(callers.map(read, range(STREAMS)))
        self.assertEqual(correct, STREAMS)

    def test_entry_names_all_vms(self):
        def read():
            reply = self.remotes[0].call("GET", "/v1/entry", key="")
            return {one["zone"] for one in reply.json()["addresses"]}

        self.assertTrue(processes.wait_until(lambda: len(read()) > 1))

    def test_revoked_key_is_rejected_everywhere(self):
        """An operator revokes a key while its caller reads a stream.

        The stream must end with an error event, and every VM must reject the
        key.
        """
        stream = router_fixture.OpenStream(
            self.remotes[1], "long", 5_000, router_fixture.OTHER_KEY
        )
        self.assertIn("choices", stream.read_event())
        rows = self.fleet.make_rows()
        del rows["accounts"]["surveyors"]
        self.fleet.apply(rows)
        for remote in self.remotes:
            processes.wait_until(
                lambda remote=remote: (
                    remote.complete(key=router_fixture.OTHER_KEY).status == 401
                )
            )
            reply = remote.complete(key=router_fixture.OTHER_KEY)
            self.assertEqual(reply.status, 401)
            self.assertEqual(remote.complete().status, 200)
        events = stream.read_all()
        self.assertEqual(events[-1]["error"]["code"], "unauthenticated")
        self.assertTrue(
            processes.wait_until(
                lambda: (
                    not any(
                        map(router_fixture.list_held, self.fleet.engine_ports)
                    )
                )
            )
        )
        self.fleet.apply(self.fleet.make_rows())


class StopTest(unittest.TestCase):
    def test_graceful_shutdown_completes_streams(self):
        """A VM is shut down gracefully while callers read from it.

        It must be removed from the entry addresses, keep serving, complete
        its running streams and exit with status 0.
        """
        with deployment.Deployment() as fleet:
            remote = deployment.RemoteRouter(fleet.ports[0])
            other_remote = deployment.RemoteRouter(fleet.ports[1])
            stream = router_fixture.OpenStream(remote, "long", 800)
            self.assertIn("choices", stream.read_event())
            fleet.routers[0].send_signal(15)
            processes.wait_until(
                lambda: remote.call("GET", "/readyz", key="").status == 503
            )
            self.assertEqual(remote.complete("late").status, 200)
            draining = f"127.0.0.1:{fleet.ports[0]}"
            self.assertTrue(
                processes.wait_until(
                    lambda: (
                        draining
                        not in str(
                            other_remote.call(
                                "GET", "/v1/entry", key=""
                            ).json()
                        )
                    )
                )
            )
            rejection = processes.wait_until(
                lambda: self.get_rejection(remote.complete("too late"))
            )
            self.assertEqual(rejection["code"], "stopping")
            self.assertEqual(rejection["run"], "not_run")
            events = stream.read_all()
            self.assertEqual(events[-1], "[DONE]")
            self.assertEqual(len(events), 801 - 1)
            self.assertEqual(fleet.routers[0].popen.wait(30), 0)

    @staticmethod
    def get_rejection(reply):
        return reply.json()["error"] if reply.status == 503 else None
