"""Turns members and hints into messages between VMs, and back."""

from mulberryway.peers.gen.membership import ttypes
from mulberryway.policy import broadcast_queue
from mulberryway.policy import member

__all__ = ["pack_hint", "pack_member", "unpack_hint", "unpack_member"]


def pack_member(one: member.Member) -> ttypes.Member:
    """Return the message for a member.

    :param one: the member
    :returns: the message
    """
    return ttypes.Member(
        one.name,
        one.address,
        one.peer_port,
        one.router_port,
        one.zone,
        one.region,
        one.incarnation,
        one.version,
        int(one.health),
        one.is_stopping,
        one.holdings,
        one.is_starting,
        one.link_mbps,
    )


def unpack_member(message: ttypes.Member) -> member.Member:
    """Return the member of a message.

    :param message: the message
    :returns: a new member
    """
    return member.Member(
        message.name,
        message.address,
        message.peer_port,
        message.router_port,
        message.zone,
        message.region,
        message.incarnation,
        message.version,
        member.MemberStatus(message.health),
        message.is_stopping,
        message.holdings or b"",
        bool(message.is_starting),
        message.link_mbps or 0,
    )


def pack_hint(hint: broadcast_queue.Hint, now_ms: int) -> ttypes.Hint:
    """Return the message for a hint; its end goes as the time left.

    :param hint: the hint
    :param now_ms: the present
    :returns: the message
    """
    return ttypes.Hint(
        hint.kind,
        hint.key,
        hint.payload,
        hint.number,
        max(hint.until_ms - now_ms, 0),
    )


def unpack_hint(message: ttypes.Hint, now_ms: int) -> broadcast_queue.Hint:
    """Return the hint of a message.

    :param message: the message
    :param now_ms: the present
    :returns: a new hint
    """
    return broadcast_queue.Hint(
        message.kind,
        message.key,
        message.payload,
        message.number,
        now_ms + message.left_ms,
    )
