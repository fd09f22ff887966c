"""Tests of the platform stand-in as a process, over HTTP."""

import contextlib
import http.client
import json
import time
import unittest

from tests import processes

ROOT = "/apis/mulberryway.dev/v1/things"


class PlatformTest(unittest.TestCase):
    def start(self, *arguments):
        group = processes.Group()
        self.addCleanup(group.stop)
        _, self.port = processes.start_standin(group, "platform", *arguments)

    def call(self, method, path, body=None, **kwargs):
        return processes.call(self.port, method, path, body, **kwargs)

    def create(self, name, value):
        body = {"metadata": {"name": name}, "value": value}
        return self.call("POST", ROOT, body)

    def update(self, name, value, version):
        body = {"metadata": {"resourceVersion": version}, "value": value}
        return self.call("PUT", f"{ROOT}/{name}", body)

    def fault(self, **faults):
        reply = self.call("POST", "/standin/faults", faults)
        self.assertEqual(reply.status, 200, reply.body)

    def open_watch(self, version):
        connection = http.client.HTTPConnection(
            processes.HOST, self.port, timeout=5
        )
        self.addCleanup(connection.close)
        connection.request(
            "GET",
            f"{ROOT}?watch=true&allowWatchBookmarks=true"
            f"&resourceVersion={version}",
        )
        return connection.getresponse()

    def test_conditional_writes(self):
        self.start()
        created = self.create("a", {"n": 1})
        self.assertEqual(created.status, 201)
        version = created.json()["metadata"]["resourceVersion"]
        self.assertEqual(self.create("a", {"n": 2}).status, 409)
        updated = self.update("a", {"n": 3}, version)
        self.assertEqual(updated.status, 200)
        self.assertEqual(self.update("a", {"n": 4}, version).status, 409)
        self.assertEqual(self.update("b", {"n": 4}, version).status, 404)
        read = self.call("GET", f"{ROOT}/a").json()
        self.assertEqual(read, updated.json())
        self.assertEqual(self.call("GET", ROOT).json()["items"], [read])
        for expected_version, status in (
            (version, 409),
            (read["metadata"]["resourceVersion"], 200),
        ):
            path = f"{ROOT}/a?resourceVersion={expected_version}"
            self.assertEqual(self.call("DELETE", path).status, status)
        self.assertEqual(self.call("GET", f"{ROOT}/a").status, 404)
        self.assertEqual(self.create("c", "x" * (1 << 20)).status, 413)
        calls = self.call("GET", "/standin/calls").json()
        self.assertEqual(calls["calls"]["update things"], 3)

    def test_watch_sends_changes_and_bookmarks(self):
        self.start("--most_changes=2")
        for name in "abc":
            self.create(name, 1)
        self.assertEqual(self.open_watch(0).status, 410)
        watch = self.open_watch(1)
        self.create("d", 1)
        names = [
            json.loads(watch.readline())["object"]["metadata"]["name"]
            for _ in "bcd"
        ]
        self.assertEqual(names, ["b", "c", "d"])
        bookmark = json.loads(watch.readline())
        self.assertEqual(bookmark["type"], "BOOKMARK")
        self.assertEqual(
            bookmark["object"]["metadata"]["resourceVersion"], "4"
        )

    def test_bookmarks_are_sent_during_writes_to_other_kinds(self):
        """A watch gets its bookmarks while other kinds are written.

        Claims are written continuously while tables do not change.  Without
        bookmarks the watchers of the tables would consider their watch
        unresponsive and reopen it repeatedly.
        """
        self.start()
        watch = self.open_watch(0)
        end_s = time.monotonic() + 1.5
        while time.monotonic() < end_s:
            body = {"metadata": {"name": str(time.monotonic())}, "value": 1}
            path = ROOT.replace("things", "others")
            self.assertEqual(self.call("POST", path, body).status, 201)
        # Less than the bookmark interval of one second without any writes.
        watch.fp.raw._sock.settimeout(0.3)
        self.assertEqual(json.loads(watch.readline())["type"], "BOOKMARK")

    def test_rates_are_limited(self):
        self.start("--writes_per_s=5", "--reads_per_s=5")
        written = [self.create(str(n), n).status for n in range(30)]
        self.assertIn(429, written)
        read = [self.call("GET", ROOT).status for _ in range(30)]
        self.assertIn(429, read)

    def test_lost_reply_has_taken_effect(self):
        """A write whose reply is lost has taken effect.

        A writer that treats the lost reply as a failed write would repeat its
        work.
        """
        self.start()
        self.fault(lost_writes=1)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.create("a", 1)
        self.assertEqual(self.call("GET", f"{ROOT}/a").status, 200)
        self.assertEqual(self.create("b", 1).status, 201)

    def test_outage_ends_watches_and_silence_sends_no_response(self):
        """An outage ends watches, and ``silence`` leaves calls unanswered.

        Clients need a timeout for calls that the platform accepts but never
        answers.
        """
        self.start()
        watch = self.open_watch(0)
        self.fault(outage=True)
        self.assertEqual(watch.read(), b"")
        self.assertEqual(self.call("GET", ROOT).status, 503)
        self.fault(outage=False, silence=True)
        with self.assertRaises(OSError):
            self.call("GET", ROOT, timeout_s=0.3)
        self.fault(silence=False)
        self.assertEqual(self.call("GET", ROOT).status, 200)

    def test_stale_reads_and_silent_watches(self):
        """Stale reads and silent watches show only old state.

        They simulate a lagging replica and a watch whose connection was lost.
        A reader that relies on either would return to an old configuration or
        keep it.
        """
        self.start()
        self.create("a", 1)
        watch = self.open_watch(1)
        self.fault(stale=True, silent_watches=True)
        self.update("a", 2, 1)
        self.assertEqual(self.call("GET", f"{ROOT}/a").json()["value"], 1)
        with contextlib.closing(self.open_watch(1)) as new_watch:
            self.assertIn(b"MODIFIED", new_watch.readline())
        watch.fp.raw._sock.settimeout(1.5)
        with self.assertRaises(OSError):
            watch.readline()
        self.fault(stale=False)
        self.assertEqual(self.call("GET", f"{ROOT}/a").json()["value"], 2)

    def test_list_of_vms_lags(self):
        self.start("--nodes_lag_ms=300")
        vm = {"name": "a1", "address": "127.0.0.1", "zone": "z"}
        self.call("POST", "/standin/nodes", {"items": [vm]})
        self.assertEqual(self.call("GET", "/api/v1/nodes").json()["items"], [])
        self.assertEqual(
            processes.wait_until(
                lambda: self.call("GET", "/api/v1/nodes").json()["items"]
            ),
            [vm],
        )


if __name__ == "__main__":
    unittest.main()
