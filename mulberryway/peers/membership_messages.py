"""Converts members and hints to messages between VMs and back."""

from mulberryway.peers.gen.membership import ttypes
from mulberryway.policy import broadcast_queue
from mulberryway.policy import member

__all__ = ["pack_hint", "pack_member", "unpack_hint", "unpack_member"]


def pack_member(member_: member.Member) -> ttypes.Member:
    """Return the message of a member.

    :param member_: the member
    :returns: the message
    """
    return ttypes.Member(
        member_.name,
        member_.address,
        member_.peer_port,
        member_.router_port,
        member_.zone,
        member_.region,
        member_.incarnation,
        member_.version,
        int(member_.health),
        member_.is_stopping,
        member_.holdings,
        member_.is_starting,
        member_.link_mbps,
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
    """Return the message of a hint, with its expiry as the remaining time.

    :param hint: the hint
    :param now_ms: the current time in milliseconds
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
    :param now_ms: the current time in milliseconds
    :returns: a new hint
    """
    return broadcast_queue.Hint(
        message.kind,
        message.key,
        message.payload,
        message.number,
        now_ms + message.left_ms,
    )
