"""Entry VMs through outages, edits, planned stops and rates."""

import concurrent.futures
import signal
import time
import unittest

from tests import hosted_fleet
from tests import processes

ALL = list(range(1, 21))


class HostedFaultTest(unittest.TestCase):
    def test_configuration_and_keys_change_under_way(self):
        """An operator takes a key away and adds a route.  A VM that went on
        with the old tables would serve whom nobody pays for.
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
                refused = fleet.send(number, "/plain/x", "c-2", key="k-small")
                self.assertEqual(refused.status, 401)

    def test_store_away_and_a_server_leaves(self):
        """The store turns one VM away while a server leaves.  That VM hears
        of it from the other, or it would go on sending there.
        """
        with hosted_fleet.Fleet() as fleet:
            proxy_port = self._start_proxy(fleet)
            fleet.vms[1].kill()
            fleet.start_vm(1, proxy_port).wait_ready()
            processes.wait_until(lambda: fleet.is_ready(fleet.ports[1]))
            self._cut()
            fleet.register("s0", "draining")
            self.assertTrue(
                processes.wait_until(
                    lambda: not self._reaches(fleet, 1, "s0"), 4
                )
            )

    def test_no_request_to_a_server_that_left_after_refusals(self):
        """The store refuses all VMs for a moment, and a server leaves soon
        after.  Guards against calls to it for longer than it serves on.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.set_store_fault("refuse")
            # The waiting watches end with this, and the next are refused.
            fleet.register("s1")
            fleet.configure()
            time.sleep(1.2)
            fleet.set_store_fault("")
            time.sleep(0.7)
            fleet.drop("servers", "s0")
            time.sleep(2.0)
            self.assertFalse(self._reaches(fleet, 0, "s0"))
            self.assertFalse(self._reaches(fleet, 1, "s0"))

    def test_vm_starts_while_the_store_is_away(self):
        """A VM is restarted in an outage.  The other VM gives it the tables
        and it serves, instead of refusing everybody.
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

    def test_history_that_is_gone_is_listed_anew(self):
        """The store drops its history.  A VM whose watch fails for good
        would stay with the tables of that moment.
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

    def test_planned_stop_cuts_nothing(self):
        """A VM is told to stop while streams run.  It is out of the answers
        at once, and every stream that had begun ends whole.
        """
        with hosted_fleet.Fleet() as fleet:
            with concurrent.futures.ThreadPoolExecutor() as pool:
                streams = [
                    pool.submit(
                        fleet.send,
                        0,
                        "/talk/a",
                        f"s-{n}",
                        headers=hosted_fleet.STREAM,
                    )
                    for n in range(6)
                ]
                processes.wait_until(
                    lambda: fleet.read_state("e1")["running"] > 0
                )
                fleet.vms[0].terminate()
                self.assertTrue(
                    processes.wait_until(
                        lambda: not fleet.is_ready(fleet.ports[0]), 2
                    )
                )
                replies = [one.result() for one in streams]
            self.assertEqual([one.status for one in replies], [200] * 6)
            self.assertFalse(any(one.is_cut for one in replies))
            left = {f"{hosted_fleet.HOST}:{fleet.ports[1][0]}"}
            self.assertTrue(
                processes.wait_until(lambda: fleet.list_resolved(1) == left, 3)
            )
            self.assertEqual(fleet.vms[0].popen.wait(6), 0)

    def test_reload_signal_ends_nothing(self):
        """The platform tells that settings have changed.  Without a handler
        the signal would end the process.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.vms[0].send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertEqual(fleet.send(0, "/plain/x", "r-1").status, 200)

    def test_allowance_holds_over_all_vms(self):
        """An account asks all VMs at once for several times its rate.  Each
        VM alone would give all of it.
        """
        with hosted_fleet.Fleet(rate=2_000) as fleet:
            # VMs that have just begun give little before they know one
            # another's counts; by now the burst is there.
            time.sleep(1.5)
            began = time.monotonic()
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                replies = list(
                    pool.map(
                        lambda n: fleet.send(
                            n % 2, "/plain/x", f"q-{n}", key="k-small"
                        ),
                        range(160),
                    )
                )
            took_s = time.monotonic() - began
            served = sum(one.status == 200 for one in replies)
            refused = [one for one in replies if one.status == 429]
            most = (2_000 * took_s + 2_000) * 1.1 + 2_000
            self.assertLessEqual(served * 200, most)
            self.assertEqual(served + len(refused), 160)
            self.assertGreater(served * 200, 2_000)
            self.assertTrue(
                all(float(one.headers["Retry-After"]) > 0 for one in refused)
            )

    def _start_proxy(self, fleet):
        port, control = processes.pick_ports(2)
        host = hosted_fleet.HOST
        fleet.group.start(
            "standins.faultproxy",
            f"--port={control}",
            f"--pair=store={host}:{port}={host}:{fleet.store_port}",
            ports=[port, control],
        )
        self.control = control
        return port

    def _cut(self):
        processes.call(
            self.control,
            "POST",
            "/standin/pairs/store",
            {"refuse": True, "stall_down": True},
        )

    def _reaches(self, fleet, number, name):
        before = len(fleet.list_runs(name))
        for turn in range(4):
            fleet.send(number, "/plain/x", f"z-{turn}")
        return len(fleet.list_runs(name)) > before
