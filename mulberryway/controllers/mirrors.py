"""Mirrors the store's objects, from the store and from other VMs."""

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
from mulberryway.objects import position
from mulberryway.peers.gen.mirrors import ttypes
from mulberryway.policy import carried_objects
from mulberryway.policy import followed_history
from mulberryway.policy import mass_expiry
from mulberryway.policy import mirror_summary
from mulberryway.policy import mirrors

__all__ = ["MirrorHandler", "MirrorController"]

LOG = logging.getLogger(__name__)

# A longer poll costs fewer calls, but an unresponsive connection is detected
# later.  Until then changes arrive through other VMs.
LONG_POLL_MS = 2_500
# Limits of the exponential backoff.  With its jitter, VMs do not all call a
# store at the same moment when it becomes reachable again.
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 1_000
MAX_DOUBLINGS = 4
NO_PAUSE_MS = 1
# Delay after a change, so that one answer contains several changes in
# quick succession.
CHANGE_BATCH_DELAY_MS = 50
# Interval at which a VM that does not watch checks whether it has to.
WATCHER_CHECK_MS = 200
OUTDATED_LOG_INTERVAL_MS = 1_000
# After another VM's snapshot the changes before it are still unread; they are
# read after this time, unless they are needed sooner.  A store may keep its
# history for 20 s only.  If they cannot be read, a new history begins.
HISTORY_LAG_MS = 10_000
HISTORY_RETRY_MS = 1_000
MAX_HISTORY_LAG_MS = 20_000

OnObjects = collections.abc.Callable[[list[objects.StoredObject]], None]


class MirrorController(base.Controller):
    """Watches one kind of object in the store and keeps its mirror.

    :param kind: the plural kind
    :param store: the platform's store
    :param clock_: the clock
    :param on_change: called after each change; must not raise
    :param detector: see :class:`mirrors.Mirror`
    :param is_watcher: returns whether this VM watches the store itself; if
        not, it gets its mirror from other VMs
    :param rules: see :class:`mirrors.Mirror`
    """

    def __init__(
        self,
        kind: str,
        store: objects.RevisionedStore,
        clock_: clock.Clock,
        on_change: collections.abc.Callable[[], None],
        detector: mass_expiry.MassExpiryDetector | None = None,
        is_watcher: collections.abc.Callable[[], bool] = lambda: True,
        rules: carried_objects.ReturnRules | None = None,
    ) -> None:
        super().__init__(f"mirror-{kind}", clock_, MIN_BACKOFF_MS)
        self.kind = kind
        self._store = store
        self._on_change = on_change
        self.kept = kept_objects.RetainedObjectReport(kind, detector)
        self._mirror = mirrors.Mirror(kind, detector, rules)
        self._expires_objects = detector is not None or (
            rules is not None and rules.has_expiry
        )
        self._lock = threading.Lock()
        # The encoded snapshot for other VMs, and the mirror's edit count at
        # which it was made.
        self._snapshot = b""
        self._snapshot_edits = -1
        self._needs_listing = True
        self._has_synced = False
        self._is_watcher = is_watcher
        self._expiry = expiry.ExpiryController(
            f"mirror-{kind}-expiry", clock_, self.expire, self._find_expiry_ms
        )
        self._was_reached = True
        self._was_answered = False
        # Calls that have failed in succession.
        self._failures = 0
        # Where the mirror was when the store's history was gone, and how often
        # it was gone since without any progress of the mirror.
        self._gone_position: position.Position | None = None
        self._history = followed_history.FollowedHistory()
        # Called with all objects of the history, also with those that came and
        # went; set by the code that needs confirmations of the history.
        self.on_objects: OnObjects | None = None
        self._confirmation = threading.Lock()
        self._confirmations = 0
        self._confirmed_since_ms: int | None = None
        self._history_read_ms = 0
        self._vain_listings = 0
        self._outdated_logged_ms: int | None = None
        self._random = random.Random()

    @property
    def changed(self) -> position.Position:
        """Position of the kind's last known change."""
        return self._mirror.changed

    @property
    def known_position(self) -> position.Position:
        """Position up to which the mirror is complete."""
        return self._mirror.position

    @property
    def summary(self) -> mirror_summary.MirrorSummary:
        """What other VMs are told of the mirror."""
        with self._lock:
            return mirror_summary.MirrorSummary(
                self._mirror.changed, self._mirror.carried.compute_digest()
            )

    @property
    def is_reached(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._was_answered and self._was_reached

    @property
    def has_synced(self) -> bool:
        """Whether a listing or another VM's snapshot has been applied."""
        return self._has_synced

    @property
    def needs_initial_sync(self) -> bool:
        """Whether there is no mirror yet and the store did not answer."""
        return not (self._has_synced or self._was_reached)

    def start(self) -> None:
        """Start one thread that watches and one that expires objects."""
        super().start()
        if self._expires_objects:
            self._expiry.start()

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the threads.

        :param wait_ms: maximum wait for a current call to the store, in
            milliseconds
        """
        self._expiry.stop(wait_ms)
        super().stop(wait_ms)

    def list_objects(self) -> list[objects.StoredObject]:
        """Return the mirror's objects, including retained ones."""
        with self._lock:
            return self._mirror.list_objects()

    def step(self) -> None:
        """Call the store once: list the objects, or wait for changes."""
        if not self._needs_listing and not self._is_watcher():
            self.period_ms = WATCHER_CHECK_MS
            return
        before = self._mirror.position
        # After a failed call the poll does not wait, so that the store's
        # recovery is noticed immediately.
        wait_ms = LONG_POLL_MS if self._was_reached else 0
        asked_ms = self.clock.now_ms()
        fault = self._list() if self._needs_listing else self._poll(wait_ms)
        now_ms = self.clock.now_ms()
        if fault is None:
            self._was_answered = True
            self._set_reached(True)
            self._failures = 0
            self._follow_history()
            has_changed = self._mirror.position != before
            self.period_ms = (
                CHANGE_BATCH_DELAY_MS if has_changed else NO_PAUSE_MS
            )
        elif fault.code is errors.Code.HISTORY_GONE:
            self._needs_listing = True
            if before != self._gone_position:
                self._gone_position, self._vain_listings = before, 0
            # If the last listing brought nothing, the next one may not either.
            self.period_ms = (
                self._compute_backoff_ms(self._vain_listings)
                if self._vain_listings
                else NO_PAUSE_MS
            )
            self._vain_listings += 1
        else:
            # If the call took longer than its poll, the store may have been
            # unreachable since the call began.  A rejection or a broken
            # connection only shows a failure at the moment it occurs.
            has_timed_out = now_ms - asked_ms >= wait_ms
            with self._lock:
                self._mirror.record_failure(
                    asked_ms if has_timed_out else now_ms, fault.message
                )
            self._set_reached(False, fault)
            self._failures += 1
            self.period_ms = self._compute_backoff_ms(self._failures)

    def confirm_history(self) -> int | None:
        """Ask the store for all changes that this VM has not followed yet.

        They are passed to ``on_objects``.  Concurrent calls share a question
        that was sent after all of them had begun.

        :returns: since when no change was missed up to this call, in ms; none
            if the store does not tell, or if this VM does not watch it
        """
        if not self._is_watcher():
            return None
        before = self._confirmations
        with self._confirmation:
            if self._confirmations <= before:
                self._confirmations += 1
                self._confirmed_since_ms = self._read_history()
            return self._confirmed_since_ms

    def _read_history(self) -> int | None:
        asked_ms = self.clock.now_ms()
        with self._lock:
            asked, since_ms = self._history.position, self._history.since_ms
        if since_ms is None or not self.is_reached:
            return None
        result = self._store.poll_changes(
            self.kind, asked.revision, 0, "history"
        )
        if result.is_error():
            LOG.info(
                "the store does not confirm the history",
                extra=logs.make_extra(
                    result.error, kind=self.kind, **asked.describe()
                ),
            )
            if result.error.code is errors.Code.HISTORY_GONE:
                self._restart_history()
            return None
        if result.ok.position.era != asked.era:
            self._restart_history()
            return None
        self._record_history(asked, result.ok, asked_ms)
        with self._lock:
            return self._history.since_ms

    def _record_history(
        self,
        asked: position.Position,
        batch: objects.ChangeBatch,
        asked_ms: int,
    ) -> None:
        if self.on_objects is not None and batch.events:
            self.on_objects([event.object for event in batch.events])
        with self._lock:
            self._history.record_changes(asked, batch.position, asked_ms)

    def _restart_history(self) -> None:
        with self._lock:
            self._history.restart(self._mirror.position, self.clock.now_ms())

    def _follow_history(self) -> None:
        """Read what a snapshot of another VM has left out."""
        if self.on_objects is None:
            return
        now_ms = self.clock.now_ms()
        with self._lock:
            is_complete = self._history.position >= self._mirror.position
            lag_ms = now_ms - self._history.until_ms
        if (
            is_complete
            or lag_ms < HISTORY_LAG_MS
            or now_ms - self._history_read_ms < HISTORY_RETRY_MS
        ):
            return
        self._history_read_ms = now_ms
        if self.confirm_history() is None and lag_ms >= MAX_HISTORY_LAG_MS:
            self._restart_history()

    def expire(self) -> None:
        """Remove retained objects whose retention has expired."""
        now_ms = self.clock.now_ms()
        with self._lock:
            expired = self._mirror.expire(now_ms)
            dropped = self._mirror.expire_carried(now_ms)
            self._update_counts()
        if expired:
            self.kept.report_expired(expired, now_ms)
        if dropped:
            self.kept.report_dropped(dropped, now_ms)
        if expired or dropped:
            self._on_change()

    def _find_expiry_ms(self) -> int | None:
        with self._lock:
            return self._mirror.find_expiry_ms()

    def make_snapshot(
        self, known_revision: int, known_era: int | None
    ) -> ttypes.Mirror:
        """Return a snapshot of the mirror for another VM.

        :param known_revision: the revision that the other VM has
        :param known_era: the era of that revision; None if the VM runs a
            version that knows no eras
        :returns: the snapshot; it contains the objects only if they are newer
        """
        with self._lock:
            mirror = self._mirror
            changed = mirror.changed
            era = changed.era if known_era is None else known_era
            is_newer = changed > position.Position(era, known_revision)
            return ttypes.Mirror(
                changed.revision,
                self._encode_objects() if is_newer else b"",
                changed.era,
                self._encode_carried(),
                mirror.position.revision,
            )

    def _encode_objects(self) -> bytes:
        mirror = self._mirror
        if mirror.list_retained():
            # The remaining retention time differs for each snapshot.
            return mirror_codec.encode_snapshot(mirror, self.clock.now_ms())
        if self._snapshot_edits != mirror.edits:
            # After a change all VMs of a fleet request the same snapshot.
            self._snapshot_edits = mirror.edits
            self._snapshot = mirror_codec.encode_snapshot(mirror, 0)
        return self._snapshot

    def _encode_carried(self) -> bytes | None:
        carried = self._mirror.carried.list_all()
        if not carried:
            return None
        return mirror_codec.encode_carried(carried, self.clock.now_ms())

    def apply_snapshot(self, received: ttypes.Mirror) -> None:
        """Apply another VM's snapshot if it is newer.

        :param received: the snapshot
        """
        now_ms = self.clock.now_ms()
        # A VM of a version that knows no eras cannot tell which one it means.
        era = received.era or 0
        changed = position.Position(era, received.revision)
        complete = position.Position(
            era, received.complete_revision or received.revision
        )
        snapshot = mirror_codec.decode_snapshot(
            self.kind, changed, received, now_ms
        )
        with self._lock:
            has_changed = (
                self._mirror.replace_from_peer(
                    snapshot.objects,
                    changed,
                    now_ms,
                    snapshot.kept,
                    snapshot.carried,
                    complete,
                )
                if received.content
                else self._mirror.merge_carried(snapshot.carried, changed.era)
            )
            self._has_synced |= bool(received.content)
        if has_changed:
            LOG.info(
                "a newer copy came from another VM",
                extra=logs.make_extra(kind=self.kind, **changed.describe()),
            )
            self._report_retained()
            self._on_change()

    def _list(self) -> errors.Fault | None:
        asked_ms = self.clock.now_ms()
        result = self._store.read_listing(self.kind, "mirror")
        if result.is_error():
            return result.error
        self._needs_listing = False
        if self.on_objects is not None:
            # Before the history covers them; the tables follow later.
            self.on_objects(result.ok.objects)
        now_ms = self.clock.now_ms()
        with self._lock:
            self._mirror.record_response(now_ms)
            before = self._mirror.position
            has_changed = self._mirror.replace(
                result.ok.objects, result.ok.position, now_ms
            )
            self._history.record_listing(result.ok.position, asked_ms)
        self._has_synced = True
        if has_changed:
            self._log_change(before)
            self._on_change()
        else:
            self._log_outdated(result.ok.position, now_ms)
        return None

    def _poll(self, wait_ms: int) -> errors.Fault | None:
        asked = self._mirror.position
        asked_ms = self.clock.now_ms()
        result = self._store.poll_changes(
            self.kind, asked.revision, wait_ms, "mirror"
        )
        if result.is_error():
            return result.error
        now_ms = self.clock.now_ms()
        if result.ok.position.era != asked.era:
            return errors.Fault(
                errors.Code.HISTORY_GONE,
                errors.Step.PLATFORM,
                message="the revision stands for another state in this era",
            )
        self._gone_position = None
        self._record_history(asked, result.ok, asked_ms)
        with self._lock:
            self._mirror.record_response(now_ms)
            has_changed = self._mirror.apply(
                result.ok.events, result.ok.position, now_ms
            )
        if has_changed:
            self._log_change(asked)
            self._on_change()
        return None

    def _log_outdated(self, listed: position.Position, now_ms: int) -> None:
        logged_ms = self._outdated_logged_ms
        if (
            logged_ms is not None
            and now_ms - logged_ms < OUTDATED_LOG_INTERVAL_MS
        ):
            return
        self._outdated_logged_ms = now_ms
        LOG.warning(
            "a listing of the store is not newer than the copy",
            extra=logs.make_extra(
                kind=self.kind,
                listed_era=listed.era,
                listed_revision=listed.revision,
                **self._mirror.position.describe(),
            ),
        )

    def _compute_backoff_ms(self, failures: int) -> int:
        """Return the time until the next call, with jitter, in ms.

        :param failures: the number of calls that brought nothing, at least 1
        """
        doublings = min(failures - 1, MAX_DOUBLINGS)
        backoff_ms = min(MIN_BACKOFF_MS << doublings, MAX_BACKOFF_MS)
        return int(backoff_ms * (0.75 + self._random.random() / 2))

    def _report_retained(self) -> None:
        with self._lock:
            retained = self._mirror.drain_newly_retained()
            carried = self._mirror.carried.drain_new()
            self._update_counts()
        now_ms = self.clock.now_ms()
        if retained:
            self.kept.report_retained(retained, now_ms)
        if carried:
            self.kept.report_carried(carried, now_ms)
        if retained or carried:
            self._expiry.wake()

    def _update_counts(self) -> None:
        self.kept.kept = len(self._mirror.list_retained())
        self.kept.carried = len(self._mirror.carried)

    def _log_change(self, before: position.Position) -> None:
        after = self._mirror.position
        if before != position.ORIGIN and after.era != before.era:
            LOG.warning(
                "the store has returned from another copy of itself",
                extra=logs.make_extra(
                    kind=self.kind,
                    previous_era=before.era,
                    previous_revision=before.revision,
                    **after.describe(),
                    count=len(self._mirror.objects),
                    retained=len(self._mirror.list_retained()),
                    carried=len(self._mirror.carried),
                ),
            )
        self._report_retained()
        LOG.info(
            "the store's objects have changed",
            extra=logs.make_extra(
                kind=self.kind,
                **self.changed.describe(),
                count=len(self._mirror.objects),
            ),
        )

    def _set_reached(
        self, is_reached: bool, fault: errors.Fault | None = None
    ) -> None:
        if is_reached != self._was_reached:
            self._was_reached = is_reached
            LOG.warning(
                "the store is back" if is_reached else "the store is away",
                extra=logs.make_extra(
                    fault, kind=self.kind, **self.changed.describe()
                ),
            )


class MirrorHandler:
    """Serves mirror snapshots to other VMs.

    :param controllers: the mirrors' controllers by kind
    """

    def __init__(
        self, controllers: collections.abc.Mapping[str, MirrorController]
    ) -> None:
        self._controllers = controllers

    def read(
        self, kind: str, known_revision: int, known_era: int | None = None
    ) -> ttypes.Mirror:
        """Return a mirror's snapshot if it is newer than the known position.

        :param kind: the plural kind
        :param known_revision: the revision that the calling VM has
        :param known_era: the era of that revision; None if the calling VM
            runs a version that knows no eras
        """
        controller = self._controllers.get(kind)
        if controller is None:
            return ttypes.Mirror(0, b"")
        return controller.make_snapshot(known_revision, known_era)
