"""Exchanges reports of crashes and of survived runs with the other VMs."""

import collections.abc
import random

from mulberryway.policy import hints
from mulberryway.policy import part_quarantine
from mulberryway.policy import part_records
from mulberryway.policy import poison

__all__ = ["CrashReports"]

# A VM that has just started, or was cut off, hears of quarantined parts within
# this time.  With more peers than SCALING_PEERS each VM repeats them less
# often, so that it receives as many repeats.
REPEAT_INTERVAL_MS = 2_000
SCALING_PEERS = 12
NO_UPSTREAM = ("", part_records.TRIAL)


class CrashReports:
    """Distributes updates to the registries of requests and of parts.

    :param register: registry of suspected poison requests
    :param parts: quarantine of prompt parts
    :param random_: seeded random generator
    """

    def __init__(
        self,
        register: poison.PoisonRegistry,
        parts: part_quarantine.PartQuarantine,
        random_: random.Random,
    ) -> None:
        self._register = register
        self._parts = parts
        self._random = random_
        self._interval_ms = REPEAT_INTERVAL_MS
        self._repeat_ms: int | None = None
        # Called with pool, upstream and time of a crash that a peer has seen.
        self.on_peer_crash: collections.abc.Callable[[str, str, int], None] = (
            lambda pool, upstream, at_ms: None
        )

    def update_peers(self, count: int) -> None:
        """Replace the number of VMs that exchange notes with this one.

        :param count: the number of peers
        """
        scale = max(count / SCALING_PEERS, 1.0)
        self._interval_ms = int(REPEAT_INTERVAL_MS * scale)

    def apply_updates(self, updates: list[hints.Death], now_ms: int) -> None:
        """Apply updates of a peer.

        :param updates: the updates; late ones and duplicates have no effect
        :param now_ms: current time in ms
        """
        for update in updates:
            if part_records.is_part_key(update.digest):
                self._parts.apply_update(update, now_ms)
            else:
                self._register.apply_updates([update], now_ms)
            if update.upstream not in NO_UPSTREAM:
                pool, _, name = update.upstream.partition("/")
                self.on_peer_crash(pool, name, now_ms - update.age_ms)

    def drain_updates(self, now_ms: int) -> list[hints.Death]:
        """Return the updates to send to the peers now, and clear them.

        :param now_ms: current time in ms
        """
        updates = self._register.drain_updates(now_ms)
        updates += self._parts.drain_updates(now_ms)
        if self._repeat_ms is None:
            self._schedule_repeat(self._random.random(), now_ms)
        elif now_ms >= self._repeat_ms:
            self._schedule_repeat(1.0, now_ms)
            repeated = self._parts.list_quarantined(now_ms)
            for update in repeated:
                update.is_repeated = True
            updates += repeated
        return updates

    def _schedule_repeat(self, part: float, now_ms: int) -> None:
        self._repeat_ms = now_ms + int(self._interval_ms * part)
