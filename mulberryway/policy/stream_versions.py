"""Remembers which software version began each stream that may be resumed.

Events of two software versions must not be joined in one stream.  A stream of
which nothing is known may be resumed only where one version alone can have
begun it.
"""

import collections
import collections.abc
import hashlib

__all__ = [
    "DIGEST_BYTES",
    "StreamVersion",
    "StreamVersionTable",
    "VersionHistory",
    "digest_stream",
]

DIGEST_BYTES = 16
# Bounds the memory of a flood of streams, at some 200 bytes each.
MAX_STREAMS = 16_384
# Bounds how long another VM's message is kept.
MAX_TTL_MS = 600_000


def digest_stream(account: str, attempt_id: str) -> bytes:
    """Return the digest that identifies a stream of a client account.

    Callers choose the ids of their attempts, so an id alone could name the
    stream of another account.

    :param account: the client account's name
    :param attempt_id: the id of the attempt that brought the first event
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = account.encode()
    digest.update(len(name).to_bytes(4, "big") + name)
    digest.update(attempt_id.encode())
    return digest.digest()


class StreamVersion:
    """The software version that wrote a stream's first event.

    :param stream: the digest of the stream
    :param pool: the pool's name
    :param version: the version
    :param left_ms: how long the stream may still be resumed, in ms
    """

    __slots__ = ("stream", "pool", "version", "left_ms")

    def __init__(
        self, stream: bytes, pool: str, version: str, left_ms: int
    ) -> None:
        self.stream = stream
        self.pool = pool
        self.version = version
        self.left_ms = left_ms


class StreamVersionTable:
    """The streams that this VM knows; bounded, not thread-safe.

    :param max_streams: the maximum number of streams
    """

    __slots__ = ("evicted", "_max_streams", "_streams")

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        # How many streams were dropped before they expired.
        self.evicted = 0
        self._max_streams = max_streams
        # Pool, version and expiry of each stream; no version if two were
        # recorded.
        self._streams: collections.OrderedDict[
            bytes, tuple[str, str | None, int]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, record: StreamVersion, now_ms: int) -> bool:
        """Remember a stream.

        A second record with another version shows that two attempts of the
        account had the same id; which of them a caller resumes is not known.

        :param record: the stream's version
        :param now_ms: current time in ms
        :returns: false if another version is known for the stream
        """
        self._remove_expired(now_ms)
        until_ms = now_ms + min(record.left_ms, MAX_TTL_MS)
        known = self._streams.get(record.stream)
        if known is not None:
            if known[:2] == (record.pool, record.version):
                return True
            self._streams[record.stream] = (record.pool, None, until_ms)
            return False
        self._streams[record.stream] = (record.pool, record.version, until_ms)
        if len(self._streams) > self._max_streams:
            self._streams.popitem(last=False)
            self.evicted += 1
        return True

    def find(self, stream: bytes, pool: str, now_ms: int) -> str | None:
        """Return the version that began a stream.

        :param stream: the digest of the stream
        :param pool: the pool's name
        :param now_ms: current time in ms
        :returns: the version; none if it is unknown or was of another pool
        """
        known = self._streams.get(stream)
        if known is None or known[0] != pool or known[2] <= now_ms:
            return None
        return known[1]

    def list_records(self, now_ms: int) -> list[StreamVersion]:
        """Return the streams of which one version is known.

        :param now_ms: current time in ms
        """
        return [
            StreamVersion(stream, pool, version, until_ms - now_ms)
            for stream, (pool, version, until_ms) in self._streams.items()
            if version is not None and until_ms > now_ms
        ]

    def is_ambiguous(self, stream: bytes) -> bool:
        """Return whether two versions were recorded for a stream.

        :param stream: the digest of the stream
        """
        known = self._streams.get(stream)
        return known is not None and known[1] is None

    def _remove_expired(self, now_ms: int) -> None:
        """Remove the oldest streams as far as they have expired."""
        while self._streams:
            _, _, until_ms = next(iter(self._streams.values()))
            if until_ms > now_ms:
                return
            self._streams.popitem(last=False)


class VersionHistory:
    """Which software versions have served each pool; not thread-safe."""

    __slots__ = ("_since_ms", "_gone_ms", "_current")

    def __init__(self) -> None:
        # When this VM first knew the servers of each pool.
        self._since_ms: dict[str, int] = {}
        # When each version was last seen to have no server.
        self._gone_ms: dict[str, dict[str, int]] = {}
        self._current: dict[str, frozenset[str]] = {}

    def update(
        self,
        versions: collections.abc.Mapping[str, frozenset[str]],
        now_ms: int,
    ) -> None:
        """Apply the versions of new tables.

        :param versions: the versions of all servers by pool
        :param now_ms: current time in ms
        """
        for pool, current in versions.items():
            self._since_ms.setdefault(pool, now_ms)
            gone = self._gone_ms.setdefault(pool, {})
            for version in self._current.get(pool, frozenset()) - current:
                gone[version] = now_ms
            self._gone_ms[pool] = {
                version: gone_ms
                for version, gone_ms in gone.items()
                if now_ms - gone_ms < MAX_TTL_MS
            }
            self._current[pool] = current

    def record_seen(self, pool: str, version: str, now_ms: int) -> None:
        """Remember a version that has served a pool until now at most.

        :param pool: the pool's name
        :param version: the version
        :param now_ms: current time in ms
        """
        self._gone_ms.setdefault(pool, {})[version] = now_ms

    def list_versions(
        self, pool: str, window_ms: int, now_ms: int
    ) -> frozenset[str]:
        """Return the versions that have served a pool of late.

        :param pool: the pool's name
        :param window_ms: how far back, in ms
        :param now_ms: current time in ms
        """
        recent = {
            version
            for version, gone_ms in self._gone_ms.get(pool, {}).items()
            if now_ms - gone_ms < window_ms
        }
        return self._current.get(pool, frozenset()) | recent

    def has_several_versions(self, window_ms: int, now_ms: int) -> bool:
        """Return whether some pool has been served by several versions.

        :param window_ms: how far back, in ms
        :param now_ms: current time in ms
        """
        return any(
            len(self.list_versions(pool, window_ms, now_ms)) > 1
            for pool in self._current
        )

    def find_sole_version(
        self, pool: str, window_ms: int, now_ms: int, followed_ms: int = 0
    ) -> str | None:
        """Return the only version that can have begun a stream of a pool.

        :param pool: the pool's name
        :param window_ms: how long ago a stream may have begun, in ms
        :param now_ms: current time in ms
        :param followed_ms: since when no change of a server was missed, in ms
        :returns: the version; none if there were several, or if this VM has
            not known the pool for this long
        """
        since_ms = self._since_ms.get(pool)
        if since_ms is None or now_ms - max(since_ms, followed_ms) < window_ms:
            return None
        versions = self.list_versions(pool, window_ms, now_ms)
        return next(iter(versions)) if len(versions) == 1 else None
