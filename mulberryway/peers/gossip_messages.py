"""Encodes and decodes gossip messages: notes, engine reports and usage."""

import itertools

from mulberryway.objects import eras
from mulberryway.objects import position
from mulberryway.peers import codec
from mulberryway.peers.gen.notes import ttypes
from mulberryway.policy import forwarders
from mulberryway.policy import health
from mulberryway.policy import hints
from mulberryway.policy import mirror_summary
from mulberryway.policy import rate_limits
from mulberryway.policy import server_loads
from mulberryway.policy import stream_versions
from mulberryway.policy import usage as usages
from mulberryway.upstreams import base as upstreams

__all__ = [
    "EngineReport",
    "DecodedDatagram",
    "decode_datagram",
    "decode_death",
    "decode_rate_limit",
    "encode_death",
    "encode_report",
    "encode_note",
    "encode_paths",
    "encode_rate_limit",
    "encode_server_loads",
    "encode_stream_version",
    "encode_usage",
]

HASH_BYTES = 8
# Equal to the limit of upstreams in one note of ``policy.note_sender``.
MAX_HOLDINGS = 64
MAX_ACCOUNTS = 32
MAX_RANKS = 32
# The others follow in the next report.
MAX_SERVER_LOADS = 64
# Addresses in one report: half a kilobyte.  A VM that cannot reach more is
# asked in vain for the others.
MAX_UNREACHABLE = 24
# Hashes of one engine in one datagram: 4 KB of its 8 KB.
MAX_HASHES = 512
# The largest value of the message's 32-bit age field.
MAX_AGE_MS = (1 << 31) - 1


class EngineReport:
    """State of an engine that one router reports to the others.

    :param pool: the pool's name
    :param upstream: the engine's name
    :param load: its load report
    :param events: its cache events since the last report
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
    """Content of a datagram.

    :param note: a router's note, or none
    :param news: engine reports
    :param usage: tokens that the sender granted to accounts, or none
    :param paths: upstreams that the sender cannot reach, or none
    :param streams: software versions that began streams
    :param server_loads: the sender's calls to plain services, or none
    """

    __slots__ = (
        "note",
        "news",
        "usage",
        "paths",
        "streams",
        "server_loads",
    )

    def __init__(
        self,
        note: hints.Note | None,
        news: list[EngineReport],
        usage: usages.Usage | None = None,
        paths: forwarders.PathReport | None = None,
        streams: list[stream_versions.StreamVersion] | None = None,
        server_loads_: server_loads.ServerLoadReport | None = None,
    ) -> None:
        self.server_loads = server_loads_
        self.note = note
        self.news = news
        self.usage = usage
        self.paths = paths
        self.streams = streams or []


def encode_note(note: hints.Note) -> bytes:
    """Return the payload of a note.

    Entries beyond the limits are omitted; the next full note contains them
    again.

    :param note: the note
    :returns: the payload
    """
    message = ttypes.Note(
        note.vm,
        note.incarnation,
        note.sequence,
        [_pack_holding(item) for item in note.holdings[:MAX_HOLDINGS]],
        [
            ttypes.AccountNote(
                item.pool,
                item.account,
                item.weight,
                item.charged,
                item.waiting,
                item.oldest_ms,
                item.prefill_ms,
            )
            for item in note.accounts[:MAX_ACCOUNTS]
        ],
        [_pack_death(item) for item in note.deaths],
        [
            ttypes.RankNote(item.pool, item.rank, item.waiting, item.oldest_ms)
            for item in note.ranks[:MAX_RANKS]
        ]
        or None,
    )
    return codec.write(ttypes.Datagram(note=message))


def encode_report(report: EngineReport) -> bytes:
    """Return the payload of an engine report.

    :param report: the report
    :returns: the payload
    """
    load = report.load
    message = ttypes.EngineReport(
        report.pool,
        report.upstream,
        load.running,
        load.waiting,
        load.slots,
        load.free_blocks,
        load.total_blocks,
        list(load.models),
        _pack_events(report.events),
    )
    return codec.write(ttypes.Datagram(reports=[message]))


def decode_datagram(payload: bytes) -> DecodedDatagram:
    """Return the content of a datagram.

    :param payload: the payload
    :returns: the decoded messages
    """
    message = codec.read(ttypes.Datagram(), payload)
    note = None if message.note is None else _unpack_note(message.note)
    usage = None if message.usage is None else _unpack_usage(message.usage)
    paths = None if message.paths is None else _unpack_paths(message.paths)
    return DecodedDatagram(
        note,
        [_unpack_report(item) for item in message.reports or ()],
        usage,
        paths,
        [
            stream_versions.StreamVersion(
                item.stream, item.pool, item.version, item.left_ms
            )
            for item in message.streams or ()
        ],
        None
        if message.server_loads is None
        else _unpack_server_loads(message.server_loads),
    )


def encode_server_loads(report: server_loads.ServerLoadReport) -> bytes:
    """Return the payload of a VM's calls to plain services.

    :param report: the report
    :returns: the payload
    """
    message = ttypes.ServerLoads(
        report.vm,
        report.incarnation,
        report.sequence,
        [
            ttypes.ServerLoad(
                item.pool,
                item.server,
                item.in_flight,
                item.completed or None,
                item.rejected or None,
                item.busy_ms or None,
            )
            for item in report.loads[:MAX_SERVER_LOADS]
        ],
    )
    return codec.write(ttypes.Datagram(server_loads=message))


def _unpack_server_loads(
    message: ttypes.ServerLoads,
) -> server_loads.ServerLoadReport:
    return server_loads.ServerLoadReport(
        message.vm,
        message.incarnation,
        message.sequence,
        [
            server_loads.ServerLoad(
                item.pool,
                item.server,
                item.in_flight,
                item.completed or 0,
                item.rejected or 0,
                item.busy_ms or 0,
            )
            for item in message.loads
        ],
    )


def encode_stream_version(record: stream_versions.StreamVersion) -> bytes:
    """Return the payload of a stream's software version.

    :param record: the stream's version
    """
    message = ttypes.StreamVersion(
        record.stream, record.pool, record.version, record.left_ms
    )
    return codec.write(ttypes.Datagram(streams=[message]))


def encode_paths(report: forwarders.PathReport) -> bytes:
    """Return the payload of a VM's report on its paths.

    :param report: the report
    :returns: the payload
    """
    message = ttypes.Paths(
        report.vm,
        report.incarnation,
        report.sequence,
        report.is_cut_off or None,
        sorted(report.unreachable)[:MAX_UNREACHABLE] or None,
    )
    return codec.write(ttypes.Datagram(paths=message))


def _unpack_paths(message: ttypes.Paths) -> forwarders.PathReport:
    return forwarders.PathReport(
        message.vm,
        message.incarnation,
        message.sequence,
        bool(message.is_cut_off),
        message.unreachable or (),
    )


def encode_usage(usage: usages.Usage) -> bytes:
    """Return the payload of a VM's token usage.

    :param usage: the usage
    :returns: the payload
    """
    message = ttypes.Usage(
        usage.vm,
        usage.incarnation,
        usage.sequence,
        [
            ttypes.AccountUsage(item.account, item.spent, item.left)
            for item in usage.accounts
        ],
        [
            _pack_mirror(kind, summary)
            for kind, summary in usage.mirrors.items()
        ],
        min(usage.age_ms, MAX_AGE_MS),
        usage.is_store_reached,
        usage.is_whole or None,
    )
    return codec.write(ttypes.Datagram(usage=message))


def _pack_mirror(
    kind: str, summary: mirror_summary.MirrorSummary
) -> ttypes.MirrorState:
    changed = summary.changed
    return ttypes.MirrorState(
        kind, changed.revision, changed.era, summary.carried or None
    )


def _unpack_mirror(
    message: ttypes.MirrorState,
) -> mirror_summary.MirrorSummary:
    era = message.era or eras.UNKNOWN_ERA
    if not eras.UNKNOWN_ERA <= era <= eras.MAX_ERA:
        era = eras.UNKNOWN_ERA
    return mirror_summary.MirrorSummary(
        position.Position(era, message.revision),
        message.carried or 0,
    )


def _unpack_usage(message: ttypes.Usage) -> usages.Usage:
    return usages.Usage(
        message.vm,
        message.incarnation,
        message.sequence,
        [
            usages.AccountUsage(item.account, item.spent, item.left)
            for item in message.accounts
        ],
        {item.kind: _unpack_mirror(item) for item in message.mirrors},
        message.age_ms,
        message.is_store_reached,
        bool(message.is_whole),
    )


def encode_rate_limit(news: rate_limits.RateLimitNews) -> bytes:
    """Return the payload of news of a rate limit, for all VMs.

    :param news: the news
    :returns: the payload
    """
    return codec.write(
        ttypes.RateLimit(
            news.upstream,
            news.started_ms,
            news.rate_per_s,
            min(news.age_ms, MAX_AGE_MS),
        )
    )


def decode_rate_limit(payload: bytes) -> rate_limits.RateLimitNews:
    """Return the news of a rate limit of a payload.

    :param payload: the payload
    """
    message = codec.read(ttypes.RateLimit(), payload)
    return rate_limits.RateLimitNews(
        message.upstream,
        message.started_ms,
        message.rate_per_s,
        message.age_ms,
    )


def encode_death(death: hints.Death) -> bytes:
    """Return the payload of a crash report, which is broadcast to all VMs.

    :param death: the crash report
    :returns: the payload
    """
    return codec.write(_pack_death(death))


def decode_death(payload: bytes) -> hints.Death:
    """Return the crash report of a payload.

    :param payload: the payload
    :returns: the crash report
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
    # The newest events have priority. The gap in the sequence numbers shows
    # that some are missing, as it does for the engine's own events.
    sizes = itertools.accumulate(
        len(item.stored) + len(item.removed) for item in reversed(events)
    )
    fitting_count = sum(size <= MAX_HASHES for size in sizes)
    return [
        ttypes.CacheEvent(
            item.sequence,
            _pack_hashes(item.stored),
            _pack_hashes(item.removed),
        )
        for item in events[len(events) - fitting_count :]
    ]


def _pack_hashes(hashes: tuple[str, ...]) -> bytes:
    return bytes.fromhex("".join(hashes))


def _unpack_hashes(packed: bytes) -> tuple[str, ...]:
    return tuple(
        packed[at : at + HASH_BYTES].hex()
        for at in range(0, len(packed), HASH_BYTES)
    )


def _pack_holding(item: hints.Holding) -> ttypes.Holding:
    outcomes = item.outcomes
    # Most counters are zero, and an absent field is not encoded.
    return ttypes.Holding(
        item.pool,
        item.upstream,
        item.decodes,
        item.prefill_ms,
        item.suspects,
        item.blocks,
        item.step_ms or None,
        outcomes.succeeded or None,
        outcomes.failed or None,
        outcomes.unreached or None,
        outcomes.probes_passed or None,
        outcomes.probes_failed or None,
        item.present_blocks,
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
        message.present_blocks,
    )


def _unpack_note(message: ttypes.Note) -> hints.Note:
    return hints.Note(
        message.vm,
        message.incarnation,
        message.sequence,
        [_unpack_holding(item) for item in message.holdings],
        [
            hints.AccountNote(
                item.pool,
                item.account,
                item.weight,
                item.charged,
                item.waiting,
                item.oldest_ms,
                item.prefill_ms or 0,
            )
            for item in message.accounts
        ],
        [_unpack_death(item) for item in message.deaths],
        [
            hints.RankNote(item.pool, item.rank, item.waiting, item.oldest_ms)
            for item in message.ranks or ()
        ],
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
                item.sequence,
                _unpack_hashes(item.stored),
                _unpack_hashes(item.removed),
            )
            for item in message.events
        ],
    )
