"""Keeps copies of the store's objects, with the other VMs' help."""

import collections.abc
import logging
import random
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway.controllers import base
from mulberryway.controllers import expiry
from mulberryway.controllers import kept_objects
from mulberryway.controllers import mirror_codec
from mulberryway.objects import base as objects
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirrors

__all__ = ["MirrorHandler", "MirrorController"]

LOG = logging.getLogger(__name__)

# A watch that waits longer costs fewer calls, and shows later that its
# connection has fallen silent; news come through other VMs meanwhile.
LONG_POLL_MS = 2_500
# Pauses grow and are spread, so that VMs do not all ask a store that has come
# back at the same moment.
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
NO_PAUSE_MS = 1
# After a change, others that follow at once come with the same answer.
CHANGE_BATCH_DELAY_MS = 50
# How soon a VM that does not watch notices that it has to.
WATCHER_CHECK_MS = 200


class MirrorController(base.Controller):
    """Watches one kind and keeps its mirror.

    :param kind: the plural kind
    :param store: the platform's store
    :param clock_: where the time comes from
    :param on_change: called after each change; must not raise
    :param detector: see :class:`mirrors.Mirror`
    :param is_watcher: tells whether this VM asks the store itself, or goes
        by what other VMs tell
    """

    def __init__(
        self,
        kind: str,
        store: objects.RevisionedStore,
        clock_: clock.Clock,
        on_change: collections.abc.Callable[[], None],
        detector: mass_expiry.MassExpiryDetector | None = None,
        is_watcher: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(f"mirror-{kind}", clock_, MIN_BACKOFF_MS)
        self.kind = kind
        self._store = store
        self._on_change = on_change
        self.kept = kept_objects.RetainedObjectReport(kind, detector)
        self._mirror = mirrors.Mirror(kind, detector)
        self._keeps_objects = detector is not None
        self._lock = threading.Lock()
        # The copy that other VMs get, and of which state of the mirror.
        self._packed = b""
        self._packed_edits = -1
        self._needs_listing = True
        self._is_known = False
        self._is_watcher = is_watcher
        self._expiry = expiry.ExpiryController(
            f"mirror-{kind}-expiry", clock_, self.expire, self._find_expiry_ms
        )
        self._was_reached = True
        self._was_answered = False
        self._random = random.Random()

    @property
    def revision(self) -> int:
        """The revision of the kind's last change that is known."""
        return self._mirror.changed_revision

    @property
    def is_reached(self) -> bool:
        """Whether the store answered the last time that it was asked."""
        return self._was_answered and self._was_reached

    @property
    def is_known(self) -> bool:
        """Whether a listing or a copy was ever taken over."""
        return self._is_known

    @property
    def needs_initial_sync(self) -> bool:
        """Whether there is no copy yet, and the store has given none."""
        return not (self._is_known or self._was_reached)

    def start(self) -> None:
        """Begin to watch on a thread of its own, and to expire on another."""
        super().start()
        if self._keeps_objects:
            self._expiry.start()

    def stop(self, wait_ms: int = 2_000) -> None:
        """End the threads.

        :param wait_ms: the longest wait for a current call to the store
        """
        self._expiry.stop(wait_ms)
        super().stop(wait_ms)

    def list_objects(self) -> list[objects.StoredObject]:
        """Return the objects that count."""
        with self._lock:
            return self._mirror.list_objects()

    def step(self) -> None:
        """Ask the store once; a watch waits for changes."""
        if not self._needs_listing and not self._is_watcher():
            self.period_ms = WATCHER_CHECK_MS
            return
        before = self._mirror.revision
        # After an outage it matters that the store is back.
        wait_ms = LONG_POLL_MS if self._was_reached else 0
        asked_ms = self.clock.now_ms()
        fault = self._list() if self._needs_listing else self._poll(wait_ms)
        now_ms = self.clock.now_ms()
        if fault is None:
            self._was_answered = True
            self._note_reached(True)
            has_changed = self._mirror.revision != before
            self.period_ms = (
                CHANGE_BATCH_DELAY_MS if has_changed else NO_PAUSE_MS
            )
        elif fault.code is errors.Code.HISTORY_GONE:
            self._needs_listing = True
            self.period_ms = NO_PAUSE_MS
        else:
            # The store may have been away for all of a call that outlasted
            # its wait; a refusal or a cut tells only of its own moment.
            is_silent = now_ms - asked_ms >= wait_ms
            with self._lock:
                self._mirror.record_failure(
                    asked_ms if is_silent else now_ms, fault.message
                )
            self._note_reached(False, fault)
            self.period_ms = min(
                max(self.period_ms * 2, MIN_BACKOFF_MS), MAX_BACKOFF_MS
            )
            self.period_ms = int(
                self.period_ms * (0.75 + self._random.random() / 2)
            )

    def expire(self) -> None:
        """Give up kept objects whose time is over."""
        now_ms = self.clock.now_ms()
        with self._lock:
            expired = self._mirror.expire(now_ms)
            self.kept.kept = len(self._mirror.list_retained())
        if expired:
            self.kept.report_expired(expired, now_ms)
            self._on_change()

    def _find_expiry_ms(self) -> int | None:
        with self._lock:
            return self._mirror.find_expiry_ms()

    def pack(self, known_revision: int) -> tuple[int, bytes]:
        """Return the mirror for another VM.

        :param known_revision: what the other VM knows already
        :returns: the revision and the packed objects; empty if not newer
        """
        with self._lock:
            revision = self._mirror.changed_revision
            if revision <= known_revision:
                return revision, b""
            if self._mirror.list_retained():
                # How long an object is kept for changes with each copy.
                return revision, mirror_codec.encode_snapshot(
                    self._mirror, self.clock.now_ms()
                )
            if self._packed_edits != self._mirror.edits:
                # All VMs of a fleet ask for the same copy after a change.
                self._packed_edits = self._mirror.edits
                self._packed = mirror_codec.encode_snapshot(self._mirror, 0)
            return revision, self._packed

    def unpack(self, revision: int, content: bytes) -> None:
        """Take over another VM's mirror if it is newer.

        :param revision: its revision
        :param content: the packed objects
        """
        now_ms = self.clock.now_ms()
        copy = mirror_codec.decode_snapshot(
            self.kind, revision, content, now_ms
        )
        with self._lock:
            has_changed = self._mirror.replace_from_peer(
                copy.objects, revision, now_ms, copy.kept
            )
            self._is_known = True
        if has_changed:
            LOG.info(
                "a newer copy came from another VM",
                extra=logs.make_extra(kind=self.kind, revision=revision),
            )
            self._note_kept()
            self._on_change()

    def _list(self) -> errors.Fault | None:
        result = self._store.read_listing(self.kind, "mirror")
        if result.is_error():
            return result.error
        self._needs_listing = False
        now_ms = self.clock.now_ms()
        with self._lock:
            self._mirror.record_response(now_ms)
            has_changed = self._mirror.replace(
                result.ok.objects, result.ok.revision, now_ms
            )
        self._is_known = True
        if has_changed:
            self._log_change()
            self._on_change()
        return None

    def _poll(self, wait_ms: int) -> errors.Fault | None:
        result = self._store.poll(
            self.kind, self._mirror.revision, wait_ms, "mirror"
        )
        if result.is_error():
            return result.error
        now_ms = self.clock.now_ms()
        with self._lock:
            self._mirror.record_response(now_ms)
            has_changed = self._mirror.apply(
                result.ok.events, result.ok.revision, now_ms
            )
        if has_changed:
            self._log_change()
            self._on_change()
        return None

    def _note_kept(self) -> None:
        with self._lock:
            newly = self._mirror.drain_newly_retained()
            self.kept.kept = len(self._mirror.list_retained())
        if newly:
            self.kept.report_retained(newly, self.clock.now_ms())
            self._expiry.wake()

    def _log_change(self) -> None:
        self._note_kept()
        LOG.info(
            "the store's objects have changed",
            extra=logs.make_extra(
                kind=self.kind,
                revision=self.revision,
                count=len(self._mirror.objects),
            ),
        )

    def _note_reached(
        self, is_reached: bool, fault: errors.Fault | None = None
    ) -> None:
        if is_reached != self._was_reached:
            self._was_reached = is_reached
            LOG.warning(
                "the store is back" if is_reached else "the store is away",
                extra=logs.make_extra(
                    fault, kind=self.kind, revision=self.revision
                ),
            )


class MirrorHandler:
    """Answers other VMs that ask for a mirror.

    :param keepers: the keepers by kind
    """

    def __init__(
        self, keepers: collections.abc.Mapping[str, MirrorController]
    ) -> None:
        self._keepers = keepers

    def read(self, kind: str, known_revision: int) -> ttypes.Mirror:
        """Return a mirror, packed if it is newer than what is known.

        :param kind: the plural kind
        :param known_revision: what the asking VM knows
        """
        keeper = self._keepers.get(kind)
        if keeper is None:
            return ttypes.Mirror(0, b"")
        return ttypes.Mirror(*keeper.pack(known_revision))
