"""Tests of the fault-injecting proxy in front of the service stand-in."""

import http.client
import socket
import struct
import unittest

from tests import processes


class FaultProxyTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = processes.Group()
        cls.addClassCleanup(group.stop)
        _, cls.service_port = processes.start_standin(group, "service")
        cls.control_port, cls.port, cls.raw_port = processes.pick_ports(3)
        host = processes.HOST
        cls.raw_target = socket.create_server((host, 0))
        cls.addClassCleanup(cls.raw_target.close)
        raw_target_port = cls.raw_target.getsockname()[1]
        group.start(
            "standins.faultproxy",
            f"--port={cls.control_port}",
            f"--pair=s={host}:{cls.port}={host}:{cls.service_port}",
            f"--pair=raw={host}:{cls.raw_port}={host}:{raw_target_port}",
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

    def send_request(self, connection, body=b"x"):
        connection.request("POST", "/bookings", body)

    def submit_request(self, connection, body=b"x"):
        self.send_request(connection, body)
        return connection.getresponse().read()

    def test_cut_resets_open_connections(self):
        connection = self.open()
        self.submit_request(connection)
        self.fault(cut=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(connection)
        self.submit_request(self.open())

    def test_reset_of_the_target(self):
        """Guards against half an answer without a length that looks whole,
        since its server's reset arrives as an ordinary end.
        """
        connection = socket.create_connection((processes.HOST, self.raw_port))
        self.addCleanup(connection.close)
        target, _ = self.raw_target.accept()
        target.sendall(b"half")
        self.assertEqual(connection.recv(4), b"half")
        linger = struct.pack("ii", 1, 0)
        target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        target.close()
        with self.assertRaises(ConnectionResetError):
            connection.recv(1)

    def test_refused_connections_never_reach_the_target(self):
        previous_count = self.count_bookings()
        self.fault(refuse=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(self.open())
        self.fault(refuse=False)
        self.assertEqual(self.count_bookings(), previous_count)

    def test_silent_affects_only_open_connections(self):
        """The fault ``silent`` stops open connections, but not new ones.

        It simulates a middlebox that has lost a connection's state.  A client
        without a timeout would wait forever.
        """
        for direction, runs in (("up", 0), ("down", 1)):
            connection = self.open(timeout_s=0.5)
            self.submit_request(connection)
            previous_count = self.count_bookings()
            self.fault(silent=[direction])
            with self.assertRaises(TimeoutError):
                self.submit_request(connection)
            self.assertEqual(self.count_bookings(), previous_count + runs)
            self.submit_request(self.open())

    def test_connection_works_after_stall(self):
        connection = self.open(timeout_s=0.3)
        self.fault(stall_down=True)
        with self.assertRaises(TimeoutError):
            self.submit_request(connection)
        self.fault(stall_down=False)
        self.submit_request(self.open())

    def test_dropped_reply_follows_the_effect(self):
        """A dropped reply does not undo the effect of its request.

        The caller cannot distinguish this from a request that never arrived.
        """
        previous_count = self.count_bookings()
        self.fault(drop_replies=1)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.submit_request(self.open())
        self.assertEqual(self.count_bookings(), previous_count + 1)
        self.submit_request(self.open())

    def test_held_reply_arrives_after_the_next(self):
        """A held reply is delivered to its own caller, after a later one."""
        held_connection = self.open()
        self.fault(hold_replies=1)
        self.send_request(held_connection, b"late")
        processes.wait_until(
            lambda: (
                processes.call(
                    self.control_port, "GET", "/standin/pairs"
                ).json()["s"]["faults"]["hold_replies"]
                == 0
            )
        )
        self.submit_request(self.open(), b"next")
        self.assertIn(b"booking", held_connection.getresponse().read())

    def test_half_close_ends_the_stream(self):
        connection = self.open()
        self.submit_request(connection)
        self.fault(half_close="down")
        self.assertEqual(connection.sock.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
