"""Tests of entry VMs in outages, edits, shutdowns and rate limits."""

import concurrent.futures
import signal
import time
import unittest

from tests import hosted_fleet
from tests import processes

STREAMS = 6
EVENT_IDS = list(range(1, 21))


class HostedFaultTest(unittest.TestCase):
    def test_changed_configuration_and_keys_apply(self):
        """An operator revokes a key and adds a route.  A VM with the old
        tables would still serve the revoked key.
        """
        with hosted_fleet.Fleet() as fleet:
            route = hosted_fleet.make_route(
                "r-new", "/new/", "app", "idempotent", 1
            )
            fleet.configure({"k-large": "large"}, [route])
            for number in range(2):
                self.assertTrue(
                    processes.wait_until(
                        lambda n=number: (
                            fleet.send(n, "/new/x", "c-1").status == 200
                        ),
                        2,
                    )
                )
                rejected = fleet.send(number, "/plain/x", "c-2", key="k-small")
                self.assertEqual(rejected.status, 401)

    def test_vm_without_store_learns_of_a_draining_server(self):
        """The store rejects one VM while a server drains.  That VM must learn
        of it from the other VM, or it would keep sending requests there.
        """
        with hosted_fleet.Fleet() as fleet:
            proxy = hosted_fleet.StoreProxy(fleet)
            fleet.vms[1].kill()
            fleet.start_vm(1, proxy.port).wait_ready()
            processes.wait_until(lambda: fleet.is_ready(fleet.ports[1]))
            proxy.cut_off()
            fleet.register("s0", "draining")
            self.assertTrue(
                processes.wait_until(
                    lambda: not self._is_request_sent_to(fleet, 1, "s0"), 4
                )
            )

    def test_no_request_to_a_removed_server_after_rejections(self):
        """The store rejects all VMs for a moment, and a server is removed soon
        after.  Guards against calls to it for longer than it still serves.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.set_store_fault("refuse")
            # This ends the open watches, and the next ones are rejected.
            fleet.register("s1")
            fleet.configure()
            time.sleep(1.2)
            fleet.set_store_fault("")
            time.sleep(0.7)
            fleet.drop("servers", "s0")
            time.sleep(2.0)
            self.assertFalse(self._is_request_sent_to(fleet, 0, "s0"))
            self.assertFalse(self._is_request_sent_to(fleet, 1, "s0"))

    def test_vm_starts_while_the_store_is_away(self):
        """A VM restarts during a store outage.  It must get the tables from
        the other VM and serve, instead of rejecting all requests.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.set_store_fault("refuse")
            fleet.vms[1].kill()
            fleet.start_vm(1).wait_ready()
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.is_ready(fleet.ports[1]), 6
                ),
                fleet.read_logs(),
            )
            self.assertEqual(
                fleet.send(1, "/plain/x", "o-1").status,
                200,
                fleet.read_logs(),
            )

    def test_compacted_history_is_listed_again(self):
        """The store compacts its history.  A VM that cannot restart its watch
        would keep the tables from before the compaction.
        """
        with hosted_fleet.Fleet(1) as fleet:
            processes.call(fleet.store_port, "POST", "/standin/compact", {})
            route = hosted_fleet.make_route(
                "r-new", "/late/", "app", "idempotent", 1
            )
            fleet.configure(more=[route])
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.send(0, "/late/x", "l-1").status == 200, 5
                )
            )

    def test_graceful_shutdown_cuts_off_no_stream(self):
        """A VM shuts down while streams run.  It must be removed from
        discovery responses at once, and every running stream must complete.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.slow_down_streams()
            with concurrent.futures.ThreadPoolExecutor() as pool:
                streams = [
                    pool.submit(fleet.send_slow, 0, f"s-{n}")
                    for n in range(STREAMS)
                ]
                # With this grace period a VM rejects new streams from the
                # signal on, so all must have begun before it.
                self.assertTrue(
                    processes.wait_until(
                        lambda: fleet.read_state("e1")["running"] == STREAMS,
                        10,
                    ),
                    f"{fleet.read_state('e1')}\n{fleet.read_logs()}",
                )
                fleet.vms[0].terminate()
                self.assertTrue(
                    processes.wait_until(
                        lambda: not fleet.is_ready(fleet.ports[0]), 2
                    ),
                    fleet.read_logs(),
                )
                fleet.set_fault("e1", event_ms=hosted_fleet.FAST_EVENT_MS)
                replies = [future.result() for future in streams]
            self.assertEqual(
                [reply.status for reply in replies],
                [200] * STREAMS,
                fleet.read_logs(),
            )
            self.assertFalse(any(reply.is_cut for reply in replies))
            self.assertEqual(
                [hosted_fleet.list_ids(reply.body) for reply in replies],
                [EVENT_IDS] * STREAMS,
            )
            remaining = {f"{hosted_fleet.HOST}:{fleet.ports[1][0]}"}
            self.assertTrue(
                processes.wait_until(
                    lambda: fleet.list_resolved(1) == remaining, 3
                )
            )
            self.assertEqual(fleet.vms[0].popen.wait(6), 0)

    def test_reload_signal_does_not_end_the_process(self):
        """The platform signals changed settings.  Without a handler the signal
        would end the process.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.vms[0].send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertEqual(fleet.send(0, "/plain/x", "r-1").status, 200)

    def test_allowance_holds_over_all_vms(self):
        """An account sends several times its rate to all VMs at once.  Without
        coordination, each VM would grant the whole rate.
        """
        with hosted_fleet.Fleet(rate=2_000) as fleet:
            # VMs that have just started grant little until they know the usage
            # of the others; by now the burst is available.
            time.sleep(1.5)
            started_s = time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                replies = list(
                    pool.map(
                        lambda n: fleet.send(
                            n % 2, "/plain/x", f"q-{n}", key="k-small"
                        ),
                        range(160),
                    )
                )
            took_s = time.monotonic() - started_s
            served = sum(reply.status == 200 for reply in replies)
            rejected = [reply for reply in replies if reply.status == 429]
            max_tokens = (2_000 * took_s + 2_000) * 1.1 + 2_000
            self.assertLessEqual(served * 200, max_tokens)
            self.assertEqual(served + len(rejected), 160)
            self.assertGreater(served * 200, 2_000)
            self.assertTrue(
                all(
                    float(reply.headers["Retry-After"]) > 0
                    for reply in rejected
                )
            )

    def _is_request_sent_to(self, fleet, number, name):
        before = len(fleet.list_runs(name))
        for turn in range(4):
            fleet.send(number, "/plain/x", f"z-{turn}")
        return len(fleet.list_runs(name)) > before
