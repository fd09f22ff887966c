"""Addresses of the form ``host:port``."""

import ipaddress
import re

__all__ = ["MAX_PORT", "split", "split_ip"]

MAX_PORT = 65_535
MAX_HOST_LENGTH = 253
# A label of a host name (RFC 1123), with the underscores that some resolvers
# allow.
LABEL = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")


def split(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :param address: the address; its host is an IPv4 address, an IPv6 address
        in brackets, or a host name
    :returns: the host, without brackets, and the port
    :raises ValueError: if no connection to the address can be opened
    """
    host, _, digits = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        return str(ipaddress.IPv6Address(host[1:-1])), _parse_port(digits)
    labels = host.split(".")
    if len(host) > MAX_HOST_LENGTH or not all(map(LABEL.fullmatch, labels)):
        raise ValueError("expected host:port")
    if labels[-1].isdigit():
        # Resolvers take such a host for an IPv4 address.
        ipaddress.IPv4Address(host)
    return host, _parse_port(digits)


def split_ip(address: str) -> tuple[str, int]:
    """Return the host and the port of an address without a host name.

    :param address: the address; its host is an IPv4 address
    :returns: the host and the port
    :raises ValueError: if no connection to the address can be opened without
        a name lookup
    """
    host, _, digits = address.rpartition(":")
    return str(ipaddress.IPv4Address(host)), _parse_port(digits)


def _parse_port(digits: str) -> int:
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > len(str(MAX_PORT)):
        raise ValueError("expected a port")
    port = int(digits)
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return port
