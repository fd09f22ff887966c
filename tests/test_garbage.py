"""Tests of what ended requests leave to the garbage collector."""

import gc
import socket
import unittest

from mulberryway.filters import base
from mulberryway.server import request
from tests import processes
from tests import router_fixture

REQUESTS = 5
BODY = b"x" * 1_000
TIMEOUT_S = 5


class GarbageTest(unittest.TestCase):
    """Bodies in reference cycles are freed only when the garbage collector
    runs, which a few large requests do not cause.
    """

    @classmethod
    def setUpClass(cls):
        group = processes.Group()
        group.__enter__()
        cls.addClassCleanup(group.stop)
        _, port = processes.start_standin(group, "service")
        _, ports = processes.start_engines(group, ("prefill", "decode"))
        cls.rig = router_fixture.RouterFixture(
            router_fixture.make_tables(
                [
                    router_fixture.make_upstream(role, engine_port)
                    for role, engine_port in zip(
                        ("prefill", "decode"), ports, strict=True
                    )
                ],
                [router_fixture.make_upstream("service", port)],
            )
        )
        cls.rig.__enter__()
        cls.addClassCleanup(cls.rig.__exit__)

    def check(self, send):
        send()
        self.rig.wait_idle()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(REQUESTS):
            send()
        self.assertTrue(
            processes.wait_until(lambda: not count_requests(), TIMEOUT_S)
        )

    def test_calls(self):
        """Guards against calls to services that stay in memory."""
        self.check(lambda: self.rig.call("POST", "/member/x", BODY))

    def test_completions(self):
        """Guards against complete answers that stay in memory."""
        self.check(self.rig.complete)

    def test_streams(self):
        """Guards against streams that stay in memory."""
        self.check(
            lambda: router_fixture.OpenStream(self.rig, "p", 4).read_all()
        )

    def test_refused_requests(self):
        """Guards against rejected requests that stay in memory."""
        self.check(
            lambda: self.rig.call("POST", "/member/x", BODY, key="none")
        )

    def test_incomplete_requests(self):
        """Guards against requests whose callers leave in the middle."""
        head = b"POST /member/x HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"

        def send():
            address = ("127.0.0.1", self.rig.port)
            with socket.create_connection(address, TIMEOUT_S) as connection:
                connection.sendall(head + BODY)

        self.check(send)


def count_requests():
    """Return the number of requests in memory."""
    kinds = (base.Exchange, request.Request, request.Connection)
    return sum(isinstance(item, kinds) for item in gc.get_objects())
