"""The fault-injecting proxy in front of a plain service."""

import http.client
import unittest

from tests import processes


class FaultProxyTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = processes.Group()
        cls.addClassCleanup(group.stop)
        _, cls.service_port = processes.start_standin(group, "service")
        cls.control_port, cls.port = processes.pick_ports(2)
        host = processes.HOST
        group.start(
            "standins.faultproxy",
            f"--port={cls.control_port}",
            f"--pair=s={host}:{cls.port}={host}:{cls.service_port}",
            ports=[cls.control_port, cls.port],
        )

    def fault(self, **faults):
        reply = processes.call(
            self.control_port, "POST", "/standin/pairs/s", faults
        )
        self.assertEqual(reply.status, 200, reply.body)

    def count_bookings(self):
        reply = processes.call(self.service_port, "GET", "/standin/bookings")
        return reply.json()["total"]

    def open(self, timeout_s=10):
        connection = http.client.HTTPConnection(
            processes.HOST, self.port, timeout=timeout_s
        )
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, body=b"x"):
        connection.request("POST", "/bookings", body)

    def submit_request(self, connection, body=b"x"):
        self.send(connection, body)
        return connection.getresponse().read()

    def test_cut_ends_open_connections(self):
        connection = self.open()
        self.submit_request(connection)
        self.fault(cut=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(connection)
        self.submit_request(self.open())

    def test_refused_connections_never_reach_the_target(self):
        before = self.count_bookings()
        self.fault(refuse=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(self.open())
        self.fault(refuse=False)
        self.assertEqual(self.count_bookings(), before)

    def test_old_connections_fall_silent_and_new_ones_work(self):
        """Something between the ends forgets a connection.  A user who
        waits on it without a limit waits for good.
        """
        for direction, runs in (("up", 0), ("down", 1)):
            connection = self.open(timeout_s=0.5)
            self.submit_request(connection)
            before = self.count_bookings()
            self.fault(silent=[direction])
            with self.assertRaises(TimeoutError):
                self.submit_request(connection)
            self.assertEqual(self.count_bookings(), before + runs)
            self.submit_request(self.open())

    def test_stall_ends(self):
        connection = self.open(timeout_s=0.3)
        self.fault(stall_down=True)
        with self.assertRaises(TimeoutError):
            self.submit_request(connection)
        self.fault(stall_down=False)
        self.submit_request(self.open())

    def test_reply_is_lost_after_the_effect(self):
        """The service books and the answer is lost on its way.  The caller
        cannot tell this from a request that never arrived.
        """
        before = self.count_bookings()
        self.fault(drop_replies=1)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(self.open())
        self.assertEqual(self.count_bookings(), before + 1)
        self.submit_request(self.open())

    def test_held_reply_comes_after_the_next(self):
        """Two answers come in the other order than their requests.  Each
        must still reach its own caller.
        """
        late = self.open()
        self.fault(hold_replies=1)
        self.send(late, b"late")
        processes.wait_until(
            lambda: (
                processes.call(
                    self.control_port, "GET", "/standin/pairs"
                ).json()["s"]["faults"]["hold_replies"]
                == 0
            )
        )
        self.submit_request(self.open(), b"next")
        self.assertIn(b"booking", late.getresponse().read())

    def test_half_close_is_seen_as_the_end(self):
        connection = self.open()
        self.submit_request(connection)
        self.fault(half_close="down")
        self.assertEqual(connection.sock.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
