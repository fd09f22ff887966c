"""Tests of addresses, and of who connects to them."""

import socket
import unittest

from mulberryway import addresses
from mulberryway import clock
from mulberryway.upstreams import connections
from mulberryway.upstreams import decode_call
from mulberryway.upstreams import dialing

UNREADABLE = (
    "\ufffd\ufffd\ufffd:8080",
    " 10.0.0.1:80",
    "10.0.0.1 :80",
    "10.0.0.1",
    "10.0.0.1:",
    ":80",
    "10.0.0.1:0",
    "10.0.0.1:99999",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.0.1:\u0668\u0660",
    "10.0.0.1:+80",
    "10.0.0.256:80",
    "10.0.1:80",
    "a..b:80",
    ".a:80",
    "a.:80",
    "-a:80",
    "a" * 300 + ":80",
    "a." * 150 + "a:80",
    "::1:80",
    "[::g]:80",
    "a/b:80",
    "user@host:80",
    "a\r\nb:80",
)


class AddressTest(unittest.TestCase):
    def test_hosts_and_ports(self):
        expected = {
            "10.0.0.1:80": ("10.0.0.1", 80),
            "host-1.zone_a.example:65535": ("host-1.zone_a.example", 65_535),
            "[::1]:8080": ("::1", 8_080),
        }
        for address, parts in expected.items():
            with self.subTest(address):
                self.assertEqual(addresses.split(address), parts)

    def test_no_name_lookups(self):
        self.assertEqual(addresses.split_ip("10.0.0.1:80"), ("10.0.0.1", 80))
        for address in (*UNREADABLE, "localhost:80", "[::1]:80"):
            with self.subTest(address), self.assertRaises(ValueError):
                addresses.split_ip(address)

    def test_unreadable_addresses(self):
        """Guards against addresses that are accepted and that raise another
        exception than a failed connect when they are connected to.
        """
        for address in UNREADABLE:
            with self.subTest(address):
                with self.assertRaises(ValueError):
                    addresses.split(address)
                with self.assertRaises(OSError):
                    dialing.connect_directly(address, 100)

    def test_accepted_addresses_have_clients(self):
        """Guards against accepted addresses whose client or whose connection
        cannot be created.
        """
        clock_ = clock.SystemClock()
        for address in ("127.0.0.1:1", "a_b.example:1", "[::1]:1"):
            with self.subTest(address):
                connections.UpstreamClient(address, clock_).close()
                decode_call.DecodeConnection(address).close()

    def test_connect_to_ipv6(self):
        with socket.socket(socket.AF_INET6) as listener:
            try:
                listener.bind(("::1", 0))
            except OSError:
                self.skipTest("this machine has no IPv6")
            listener.listen()
            address = f"[::1]:{listener.getsockname()[1]}"
            dialing.connect_directly(address, 1_000).close()
