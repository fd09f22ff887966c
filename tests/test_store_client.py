"""Tests of the client of the platform's store when its era changes."""

import concurrent.futures
import http.server
import json
import threading
import time
import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.objects import call_metrics
from mulberryway.platform import store

HOST = "127.0.0.1"
ERA = "Store-Era"
WAIT_MS = 2_500
# A waiting watch ends this soon after another call has noticed the return.
MAX_ABORT_S = 0.5


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers with the next scripted response; watches wait."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        script = self.server.script
        if "watch=" in self.path:
            script.watching.set()
            script.end.wait(WAIT_MS / 1_000)
            self.close_connection = True
            return
        status, era, body = script.responses.pop(0)
        content = json.dumps(body).encode()
        self.send_response(status)
        if era is not None:
            self.send_header(ERA, str(era))
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_PUT = do_GET

    def log_message(self, *arguments):
        pass


class Script:
    """What the server answers.

    ``responses`` holds statuses, eras and bodies.
    """

    def __init__(self):
        self.responses = []
        self.watching = threading.Event()
        self.end = threading.Event()


def make_page(names, revision, has_more=False):
    items = [
        {"metadata": {"name": name, "revision": 1}, "spec": {}}
        for name in names
    ]
    return {
        "items": items,
        "store_revision": revision,
        "has_more": has_more,
    }


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        self.script = Script()
        server = http.server.ThreadingHTTPServer((HOST, 0), Handler)
        server.script = self.script
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.addCleanup(self.script.end.set)
        self.client = store.PlatformStore(
            f"http://{HOST}:{server.server_address[1]}",
            1_000,
            clock.SystemClock(),
            call_metrics.InMemoryCallCounter(),
        )

    def list_names(self, *responses):
        """Return the names in a listing, or the code of its fault."""
        self.script.responses += responses
        result = self.client.read_listing("servers", "test")
        if result.is_error():
            return result.error.code
        return [item.name for item in result.ok.objects]

    def test_pages_of_two_eras_are_not_joined(self):
        """Guards against a listing that is of no state of the store."""
        code = self.list_names(
            (200, 1, make_page(["a"], 9, True)),
            (200, 2, make_page(["b"], 5)),
        )
        self.assertIs(code, errors.Code.HISTORY_GONE)

    def test_late_response_of_an_older_era_is_rejected(self):
        """Guards against the last era's state, whatever its revision."""
        self.assertEqual(self.list_names((200, 2, make_page([], 5))), [])
        code = self.list_names((200, 1, make_page(["a"], 99)))
        self.assertIs(code, errors.Code.PLATFORM_UNAVAILABLE)
        self.assertEqual(self.client.eras.era, 2)

    def test_era_of_a_failure_counts(self):
        """Guards against a return that is noticed after the outage only."""
        for era, status in enumerate((409, 410, 429, 503), 2):
            self.list_names((status, era, {}))
            self.assertEqual(self.client.eras.era, era)

    def test_response_without_an_era_is_of_the_last_one(self):
        """Guards against a part of the store that names no era."""
        self.list_names((200, 2, make_page([], 5)))
        self.assertEqual(
            self.list_names((200, None, make_page(["a"], 6))), ["a"]
        )

    def test_write_of_an_older_era_may_have_run(self):
        """Guards against a write that is believed although it is lost."""
        self.list_names((200, 2, make_page([], 5)))
        body = {"metadata": {"name": "a", "revision": 60}, "spec": {}}
        self.script.responses.append((200, 1, body))
        result = self.client.update("leases", "a", {}, 1, "test")
        self.assertIs(result.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)

    def test_new_era_ends_waiting_watches(self):
        """Guards against a watch that waits in the last era while changes of
        the new one take effect.
        """
        self.list_names((200, 1, make_page([], 5)))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            watch = pool.submit(
                self.client.poll_changes, "servers", 5, WAIT_MS, "test"
            )
            self.assertTrue(self.script.watching.wait(5))
            self.list_names((503, 2, {}))
            began_s = time.monotonic()
            fault = watch.result().error
        self.assertLess(time.monotonic() - began_s, MAX_ABORT_S)
        self.assertIs(fault.code, errors.Code.HISTORY_GONE)
