"""The whole path on the operators' platform, with real processes."""

import concurrent.futures
import signal
import time
import unittest

from tests import hosted_fleet
from tests import processes

ALL = list(range(1, 21))


class HostedPathTest(unittest.TestCase):
    """One fleet for all: starting it takes longer than the tests."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = hosted_fleet.Fleet(phases=("prefill", "decode", "decode"))
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

    def test_stream_comes_whole_with_the_upstreams_seal(self):
        reply = self.fleet.send(
            0, "/talk/a", "a-1", headers=hosted_fleet.STREAM
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)
        self.assertTrue(reply.headers["Server-Seal"])
        self.assertEqual(reply.headers["Attempt-Id"], "a-1")
        self.assertFalse(reply.is_cut)

    def test_plain_call_passes_unchanged(self):
        reply = self.fleet.send(1, "/plain/x?y=1", "a-2", body=b"ab\0c")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.body, b"POST /plain/x?y=1 ab\0c")

    def test_unknown_key_and_unknown_route(self):
        refused = self.fleet.send(0, "/plain/x", "a-3", key="nobody")
        self.assertEqual(refused.status, 401)
        self.assertEqual(self.fleet.send(0, "/none/x", "a-4").status, 404)

    def test_no_key_and_no_false_account_reaches_an_upstream(self):
        """A caller claims to be another account, names a KV cache of
        another's request, and asks for a hold.  Were these passed on, it
        would run at the other's cost, or read the other's prompt.
        """
        headers = {
            "Tenant": "small-as-claimed",
            "Kv-Hold": "hold-as-claimed",
            "Serving-Phase": "prefill-as-claimed",
        }
        reply = self.fleet.send(
            0, "/talk/b", "a-5", headers=headers | hosted_fleet.STREAM
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(self.fleet.count_seen("k-large"), 0)
        self.assertEqual(self.fleet.count_seen("as-claimed"), 0)
        self.assertGreater(self.fleet.count_seen("Tenant: large"), 0)

    def test_request_hidden_in_a_body_stays_a_body(self):
        """A caller puts a whole request into the body of another.  Read a
        second time, it would run without ever having been checked.
        """
        hidden = b"POST /book/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
        reply = self.fleet.send(0, "/plain/outer", "a-6", body=hidden)
        self.assertTrue(reply.body.endswith(hidden))
        self.assertEqual(self.fleet.count_seen("POST /book/hidden "), 1)

    def test_deadline_passes_on_no_longer_than_the_callers(self):
        self.fleet.send(0, "/book/c", "a-7", deadline_ms=1500)
        runs = [
            run
            for name in ("s0", "s1")
            for run in self.fleet.list_runs(name)
            if run["id"] == "a-7"
        ]
        self.assertEqual(len(runs), 1)
        self.assertLessEqual(int(runs[0]["deadline"]), 1500)

    def test_metrics_are_served_as_text(self):
        self.fleet.send(0, "/plain/m", "a-8")
        reply = processes.call(self.fleet.ports[0][4], "GET", "/metrics")
        self.assertIn(b"mulberryway_requests_total", reply.body)
        self.assertIn(b"mulberryway_request_time", reply.body)

    def test_caller_that_goes_frees_the_engine(self):
        """A caller closes its connection in the middle of a stream.  An
        engine that went on would hold memory for nobody.
        """
        with hosted_fleet.open_stream(
            self.fleet.ports[0][0], "/talk/g", "a-9"
        ) as connection:
            connection.recv(1)
            self.assertGreater(self._count_running(), 0)
        # The stream itself would run for another fifth of a second.
        self.assertTrue(
            processes.wait_until(lambda: self._count_running() == 0, 0.15)
        )

    def _count_running(self):
        return sum(
            self.fleet.read_state(name)["running"] for name in ("e1", "e2")
        )


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

    def test_stream_goes_on_at_another_engine(self):
        """An engine breaks a stream off in the middle.  A stream that may
        be resumed goes on elsewhere within the same answer, and no event is
        missing or comes twice; one that may not looks cut.
        """
        phases = ("prefill", "decode", "decode")
        with hosted_fleet.Fleet(1, phases=phases) as fleet:
            for name in ("e1", "e2"):
                fleet.set_fault(name, cut_after=7)
            cut = fleet.send(0, "/talk/a", "d-1", headers=hosted_fleet.STREAM)
            self.assertTrue(cut.is_cut)
            first = _find_first(fleet, "d-1")
            other = {"e1": "e2", "e2": "e1"}[first]
            fleet.set_fault(other, cut_after=0)
            fleet.set_fault(first, cut_after=0)
            processes.wait_until(
                lambda: (
                    fleet.send(
                        0, "/talk/p", "d-p", headers=hosted_fleet.STREAM
                    ).status
                    == 200
                )
            )
            fleet.set_fault(first, cut_after=7)
            fleet.set_fault(other, cut_after=7)
            with concurrent.futures.ThreadPoolExecutor() as pool:
                answer = pool.submit(
                    fleet.send,
                    0,
                    "/digest/b",
                    "d-2",
                    headers=hosted_fleet.STREAM,
                )
                processes.wait_until(lambda: _find_first(fleet, "d-2"))
                begun = _find_first(fleet, "d-2")
                rest = {"e1": "e2", "e2": "e1"}[begun]
                fleet.set_fault(rest, cut_after=0)
                whole = answer.result()
            self.assertEqual(hosted_fleet.list_ids(whole.body), ALL)
            self.assertFalse(whole.is_cut)

    def test_handle_that_has_lapsed_is_made_good(self):
        """KV caches lapse at once.  The decode engine then reads the prompt
        itself, and the caller notices nothing.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", lapse=1)
            reply = fleet.send(
                0, "/talk/a", "h-1", headers=hosted_fleet.STREAM
            )
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)

    def test_refusal_by_all_engines_promises_truly(self):
        """Every engine is full.  The caller hears that its request has not
        run and when to come again, and nothing runs afterwards.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e1", full=1)
            reply = fleet.send(
                0, "/talk/a", "f-1", headers=hosted_fleet.STREAM
            )
            self.assertEqual(reply.status, 503)
            self.assertGreater(float(reply.headers["Retry-After"]), 0)
            self.assertEqual(fleet.list_runs("e1"), [])
            self.assertTrue(
                processes.wait_until(
                    lambda: not fleet.read_state("e0")["handles"], 2
                )
            )

    def test_failed_booking_is_passed_on_and_not_repeated(self):
        """A service fails a booking with an answer of its own.  Repeated at
        another server, it could run twice.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, fail_status=500)
            reply = fleet.send(0, "/book/a", "b-1")
            self.assertEqual(reply.status, 500)
            self.assertEqual(reply.body, b"failed")
            self.assertTrue(reply.headers["Server-Seal"])
            self.assertEqual(fleet.count_seen("b-1"), 1)

    def test_call_that_kills_servers_is_kept_back(self):
        """One call crashes each server that runs it, and its caller sends it
        again at any VM.  Without a register of such calls the whole service
        would go down with it.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.start_upstream("s2", "app")
            processes.wait_until(
                lambda: (
                    fleet.send(0, "/plain/x", "k-0").status == 200
                    and self._count_servers(fleet) == 3
                )
            )
            statuses = []
            for number in range(6):
                reply = fleet.send(
                    number % 2, "/book/k", f"k-{number}", body=b"poison"
                )
                statuses.append(reply.status)
                time.sleep(1)
            self.assertEqual(self._count_servers(fleet), 1)
            self.assertEqual(statuses[-3:], [503] * 3)
            self.assertEqual(fleet.send(1, "/book/z", "k-9").status, 200)

    def test_lost_answers_are_no_deaths(self):
        """Servers run a call and lose its answer, again and again.  Taken
        for deaths, the call would be kept back from servers that live.
        """
        with hosted_fleet.Fleet(1) as fleet:
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=1)
            for number in range(4):
                reply = fleet.send(0, "/book/k", f"n-{number}")
                self.assertEqual(reply.status, 502)
                time.sleep(0.5)
            for name in ("s0", "s1"):
                fleet.set_fault(name, lose_answer=0)
            self.assertEqual(fleet.send(0, "/book/k", "n-9").status, 200)

    def _count_servers(self, fleet):
        return sum(
            processes.is_open(port)
            for name, (_, port, _, _) in fleet.upstreams.items()
            if name.startswith("s")
        )

    def test_read_is_repeated_at_another_server(self):
        """One server fails every call with an answer of its own.  A call
        that may be repeated is served by another one.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("s0", fail_status=500)
            found = [
                fleet.send(0, "/plain/a", f"i-{n}", method="GET").status
                for n in range(8)
            ]
            self.assertEqual(found, [200] * 8)

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

    def test_prefill_whose_answer_is_lost(self):
        """A prefill engine reads the prompt and its answer never comes.  The
        caller waited for two seconds and was refused, though a decode engine
        held a slot for it and can read the prompt itself.
        """
        with hosted_fleet.Fleet(1) as fleet:
            fleet.set_fault("e0", mute=1)
            began = time.monotonic()
            reply = fleet.send(
                0, "/talk/m", "m-1", headers=hosted_fleet.STREAM
            )
            took_s = time.monotonic() - began
            self.assertEqual(reply.status, 200)
            self.assertEqual(hosted_fleet.list_ids(reply.body), ALL)
            self.assertLess(took_s, 1.5)
            self.assertEqual(len(fleet.list_runs("e1")), 1)

    def test_vm_starts_while_the_store_is_away(self):
        """A VM is restarted in an outage.  The other VM gives it the tables
        and it serves, instead of refusing everybody.
        """
        with hosted_fleet.Fleet() as fleet:
            fleet.set_store_fault("refuse")
            fleet.vms[1].kill()
            fleet.start_vm(1).wait_ready()
            self.assertTrue(
                processes.wait_until(lambda: fleet.is_ready(fleet.ports[1]), 6)
            )
            self.assertEqual(fleet.send(1, "/plain/x", "o-1").status, 200)

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


def _find_first(fleet, attempt):
    return next(
        (
            name
            for name in ("e1", "e2")
            for run in fleet.list_runs(name)
            if run["id"] == attempt
        ),
        None,
    )
