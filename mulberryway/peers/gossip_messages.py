"""Turns routers' hints and engines' reports into datagrams, and back."""

import itertools

from mulberryway.peers import codec
from mulberryway.peers.gen.notes import ttypes
from mulberryway.policy import health
from mulberryway.policy import hints
from mulberryway.policy import usage as usages
from mulberryway.upstreams import base as upstreams

__all__ = [
    "EngineReport",
    "DecodedDatagram",
    "decode_datagram",
    "decode_death",
    "encode_death",
    "encode_report",
    "encode_note",
    "encode_usage",
]

HASH_BYTES = 8
# ``policy.telling`` puts no more upstreams into one note.
MOST_HOLDINGS = 64
MOST_ACCOUNTS = 32
# Hashes of one engine in one datagram: 4 KB of its 8.
MOST_HASHES = 512
# The longest age that fits the message.
MOST_AGE_MS = (1 << 31) - 1


class EngineReport:
    """What one router learnt from an engine for all that share it.

    :param pool: the pool's name
    :param upstream: the engine's name
    :param load: its load report
    :param events: its cache events since the last news
    """

    __slots__ = ("pool", "upstream", "load", "events")

    def __init__(
        self,
        pool: str,
        upstream: str,
        load: upstreams.EngineLoad,
        events: list[upstreams.CacheEvent],
    ) -> None:
        self.pool = pool
        self.upstream = upstream
        self.load = load
        self.events = events


class DecodedDatagram:
    """What a datagram held.

    :param note: a router's hints, or none
    :param news: engines' reports
    :param usage: what the sender gave accounts, or none
    """

    __slots__ = ("note", "news", "usage")

    def __init__(
        self,
        note: hints.Note | None,
        news: list[EngineReport],
        usage: usages.Usage | None = None,
    ) -> None:
        self.note = note
        self.news = news
        self.usage = usage


def encode_note(note: hints.Note) -> bytes:
    """Return the payload for a note.

    What is beyond the limits is left out; it comes again with the next
    whole note.

    :param note: the note
    :returns: the payload
    """
    message = ttypes.Note(
        note.vm,
        note.incarnation,
        note.sequence,
        [_pack_holding(one) for one in note.holdings[:MOST_HOLDINGS]],
        [
            ttypes.AccountNote(
                one.pool,
                one.account,
                one.weight,
                one.charged,
                one.waiting,
                one.oldest_ms,
                one.prefill_ms,
            )
            for one in note.accounts[:MOST_ACCOUNTS]
        ],
        [_pack_death(one) for one in note.deaths],
    )
    return codec.write(ttypes.Datagram(note=message))


def encode_report(news: EngineReport) -> bytes:
    """Return the payload for an engine's news.

    :param news: the news
    :returns: the payload
    """
    load = news.load
    message = ttypes.EngineReport(
        news.pool,
        news.upstream,
        load.running,
        load.waiting,
        load.slots,
        load.free_blocks,
        load.total_blocks,
        list(load.models),
        _pack_events(news.events),
    )
    return codec.write(ttypes.Datagram(reports=[message]))


def decode_datagram(payload: bytes) -> DecodedDatagram:
    """Return what a datagram holds.

    :param payload: the payload
    :returns: what it holds
    """
    message = codec.read(ttypes.Datagram(), payload)
    note = None if message.note is None else _unpack_note(message.note)
    usage = None if message.usage is None else _unpack_usage(message.usage)
    return DecodedDatagram(
        note, [_unpack_report(one) for one in message.reports or ()], usage
    )


def encode_usage(usage: usages.Usage) -> bytes:
    """Return the payload for a VM's counts.

    :param usage: the counts
    :returns: the payload
    """
    message = ttypes.Usage(
        usage.vm,
        usage.incarnation,
        usage.sequence,
        [
            ttypes.AccountUsage(one.account, one.spent, one.left)
            for one in usage.accounts
        ],
        [
            ttypes.MirrorState(kind, revision)
            for kind, revision in usage.mirrors.items()
        ],
        min(usage.age_ms, MOST_AGE_MS),
        usage.is_store_reached,
        usage.is_whole or None,
    )
    return codec.write(ttypes.Datagram(usage=message))


def _unpack_usage(message: ttypes.Usage) -> usages.Usage:
    return usages.Usage(
        message.vm,
        message.incarnation,
        message.sequence,
        [
            usages.AccountUsage(one.account, one.spent, one.left)
            for one in message.accounts
        ],
        {one.kind: one.revision for one in message.mirrors},
        message.age_ms,
        message.is_store_reached,
        bool(message.is_whole),
    )


def encode_death(death: hints.Death) -> bytes:
    """Return the payload for a death that all VMs are told of.

    :param death: the death
    :returns: the payload
    """
    return codec.write(_pack_death(death))


def decode_death(payload: bytes) -> hints.Death:
    """Return the death of a payload.

    :param payload: the payload
    :returns: the death
    """
    return _unpack_death(codec.read(ttypes.Death(), payload))


def _pack_death(death: hints.Death) -> ttypes.Death:
    return ttypes.Death(
        death.digest, death.upstream, death.age_ms, death.proven
    )


def _unpack_death(message: ttypes.Death) -> hints.Death:
    return hints.Death(
        message.digest, message.upstream, message.age_ms, message.proven
    )


def _pack_events(
    events: list[upstreams.CacheEvent],
) -> list[ttypes.CacheEvent]:
    # The newest matter most; the gap in the numbers shows that some are
    # missing, just as one in the engine's own events does.
    sizes = itertools.accumulate(
        len(one.stored) + len(one.removed) for one in reversed(events)
    )
    fitting = sum(size <= MOST_HASHES for size in sizes)
    return [
        ttypes.CacheEvent(
            one.sequence, _pack_hashes(one.stored), _pack_hashes(one.removed)
        )
        for one in events[len(events) - fitting :]
    ]


def _pack_hashes(hashes: tuple[str, ...]) -> bytes:
    return bytes.fromhex("".join(hashes))


def _unpack_hashes(packed: bytes) -> tuple[str, ...]:
    return tuple(
        packed[at : at + HASH_BYTES].hex()
        for at in range(0, len(packed), HASH_BYTES)
    )


def _pack_holding(one: hints.Holding) -> ttypes.Holding:
    outcomes = one.outcomes
    # Most counters are zero, and an absent field takes no bytes.
    return ttypes.Holding(
        one.pool,
        one.upstream,
        one.decodes,
        one.prefill_ms,
        one.suspects,
        one.blocks,
        one.step_ms or None,
        outcomes.succeeded or None,
        outcomes.failed or None,
        outcomes.unreached or None,
        outcomes.probes_passed or None,
        outcomes.probes_failed or None,
    )


def _unpack_holding(message: ttypes.Holding) -> hints.Holding:
    return hints.Holding(
        message.pool,
        message.upstream,
        message.decodes,
        message.prefill_ms,
        message.suspects,
        message.blocks,
        message.step_ms or 0,
        health.Outcomes(
            message.succeeded or 0,
            message.failed or 0,
            message.unreached or 0,
            message.probes_passed or 0,
            message.probes_failed or 0,
        ),
    )


def _unpack_note(message: ttypes.Note) -> hints.Note:
    return hints.Note(
        message.vm,
        message.incarnation,
        message.sequence,
        [_unpack_holding(one) for one in message.holdings],
        [
            hints.AccountNote(
                one.pool,
                one.account,
                one.weight,
                one.charged,
                one.waiting,
                one.oldest_ms,
                one.prefill_ms or 0,
            )
            for one in message.accounts
        ],
        [_unpack_death(one) for one in message.deaths],
    )


def _unpack_report(message: ttypes.EngineReport) -> EngineReport:
    return EngineReport(
        message.pool,
        message.upstream,
        upstreams.EngineLoad(
            message.running,
            message.waiting,
            message.slots,
            message.free_blocks,
            message.total_blocks,
            tuple(message.models),
        ),
        [
            upstreams.CacheEvent(
                one.sequence,
                _unpack_hashes(one.stored),
                _unpack_hashes(one.removed),
            )
            for one in message.events
        ],
    )
