"""Chooses the VMs that remember a stream, by consistent hashing.

Every VM finds the same VMs from its view of the fleet.  So what a VM sends,
receives and stores for streams does not grow with the fleet.
"""

import bisect
import collections.abc
import hashlib
import itertools

__all__ = ["StreamOwners"]

# In a fleet of at most this many VMs each VM remembers all streams, and can
# tell their versions without asking.
MAX_REPLICATED_VMS = 9
# VMs that remember a stream in larger fleets, in different zones if possible.
OWNERS = 3
# Points of each VM on the ring; more of them divide the streams more evenly.
POINTS = 8
POINT_BYTES = 8
# How many points are searched for VMs in different zones.
MAX_POINTS_SEARCHED = 64


class StreamOwners:
    """The ring of one view of the fleet; immutable.

    :param zones: the availability zone of each VM by its name
    """

    __slots__ = ("_zones", "_points", "_names")

    def __init__(self, zones: collections.abc.Mapping[str, str]) -> None:
        self._zones = dict(zones)
        ring = sorted(
            (_hash_point(name, number), name)
            for name in zones
            for number in range(POINTS)
        )
        self._points = [point for point, _ in ring]
        self._names = [name for _, name in ring]

    def choose(self, stream: bytes) -> list[str]:
        """Return the VMs that remember a stream, in the order of asking.

        :param stream: the digest of the stream
        """
        candidates = list(dict.fromkeys(self._walk(stream)))
        if len(self._zones) <= MAX_REPLICATED_VMS:
            return candidates
        first_of_zones = list(
            {self._zones[name]: name for name in reversed(candidates)}.values()
        )
        ranked = sorted(
            candidates, key=lambda name: name not in first_of_zones
        )
        return ranked[:OWNERS]

    def _walk(self, stream: bytes) -> collections.abc.Iterator[str]:
        """Yield the VMs of the points that follow a stream's place."""
        start = bisect.bisect(self._points, stream[:POINT_BYTES])
        following = itertools.chain(
            itertools.islice(self._names, start, None),
            itertools.islice(self._names, start),
        )
        return itertools.islice(following, self._count_searched())

    def _count_searched(self) -> int:
        is_small = len(self._zones) <= MAX_REPLICATED_VMS
        return len(self._names) if is_small else MAX_POINTS_SEARCHED


def _hash_point(name: str, number: int) -> bytes:
    return hashlib.blake2b(
        f"{name}/{number}".encode(), digest_size=POINT_BYTES
    ).digest()
