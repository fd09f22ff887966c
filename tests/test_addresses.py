"""Tests of addresses, and of who connects to them."""

import socket
import unittest

from mulberryway import addresses
from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.peers import datagrams
from mulberryway.peers.gen.membership import Membership
from mulberryway.peers.gen.tunnels import Tunnels
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

    def test_unreadable_addresses_of_vms(self):
        """Guards against exceptions in whoever sends to another VM, which end
        what it sends to all others.
        """
        clock_ = clock.SystemClock()
        client = peers.PeerClient("s", clock_)
        self.addCleanup(client.close)
        transport = datagrams.DatagramTransport(
            "127.0.0.1", 0, "s", lambda payload, sender: None, clock_
        )
        transport.start()
        self.addCleanup(transport.stop)
        for address in (*UNREADABLE, "\ud800:80", "a\0b:80", "h\u00f6st:80"):
            with self.subTest(address):
                self.assertFalse(transport.send(address, b"x"))
                answer = client.call(address, Membership.Client, "list_all")
                self.assertIs(answer.error.code, errors.Code.PEER_UNREACHABLE)
                answer = client.call_detached(
                    address, Tunnels.Client, "open", address, timeout_ms=100
                )
                self.assertIs(answer.error.code, errors.Code.PEER_UNREACHABLE)

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
