"""Makes operators' edits take effect, whatever happens to the replies."""

import collections.abc
import logging
import random

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.admin import history
from mulberryway.admin import submission as submissions
from mulberryway.objects import base
from mulberryway.objects import roots as root_store
from mulberryway.objects import segments as segment_store
from mulberryway.tables import edits
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = ["Editor"]

LOG = logging.getLogger(__name__)

Announce = collections.abc.Callable[[roots.Root, list[segments.Segment]], None]

MAX_BACKOFF_MS = 500


class Editor:
    """Writes segments, then changes the root by conditional update.

    The root's update is the only moment at which anything is accepted.  It
    names the version that it was made from, so of two operators who race
    the second meets a conflict and is checked anew against what the first
    has made.  An update without an answer is sent again unchanged: it can
    take effect once only, and a conflict then proves that the root has
    moved, so that a root newer than the one edited says truly whether the
    edit is in.

    :param store: the platform
    :param clock_: where the time comes from
    :param rng: for the pauses between tries
    :param read_revision: the revision that this VM has in force; an older
        root is a stale answer of the platform and never edited
    :param announce: hands an accepted root and its new segments to some
        VMs, before the operator is told that it is accepted

    ``accepted`` reads the accepted state.
    """

    def __init__(
        self,
        store: base.ObjectStore,
        clock_: clock.Clock,
        rng: random.Random,
        read_revision: collections.abc.Callable[[], int] = lambda: 0,
        announce: Announce = lambda root, new: None,
    ) -> None:
        self._segments = segment_store.SegmentStore(store)
        self.accepted = root_store.RootStore(store, self._segments)
        self._clock = clock_
        self._random = rng
        self._read_revision = read_revision
        self._announce = announce

    def submit(
        self, edit: edits.Edit, timeout_ms: int
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        """Make an edit take effect, or say truly that it did not.

        :param edit: the edit; sent again with the same id it counts once
        :param timeout_ms: how long to try
        :returns: the acceptance, or a fault: ``NOT_RUN`` if the edit has
            no effect and never will, ``MAY_HAVE_RUN`` if that is unknown
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        submission = submissions.Submission(edit, deadline)
        while True:
            tried = self._try(submission)
            if tried.is_ok():
                self._log(submission, tried.ok)
                return tried
            over = deadline.has_passed(self._clock.now_ms())
            if over or not submissions.is_retriable(tried.error):
                return expression.Error(submission.end(tried.error))
            self._pause(submission)

    def restore(
        self,
        edit: edits.Edit,
        root: roots.Root,
        rows: list[segments.Segment],
        timeout_ms: int,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        """Bring a platform forward that was restored from an old copy.

        VMs keep what was accepted and refuse the old root, and edits are
        refused as long as the platform is behind.  What is in force becomes
        the platform's again, under a revision of its own.

        :param edit: carries id and operator; it has no changes
        :param root: the newest root that a VM has in force
        :param rows: all its segments with rows
        :param timeout_ms: how long to try
        :returns: the acceptance; ``CONFLICT`` if the platform is not behind
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        submission = submissions.Submission(edit, deadline)
        held = self.accepted.read_root()
        if held.is_error():
            return expression.Error(submission.end(held.error))
        if held.ok.root.revision >= root.revision:
            return submissions.reject_restore(held.ok.root.revision)
        made = self._make_restored(edit, held.ok.root, root, rows)
        done = made.bind(lambda new: self._accept(submission, held.ok, new))
        if done.is_error():
            return expression.Error(submission.end(done.error))
        self._log(submission, done.ok)
        return done

    def collect(self) -> expression.Result[int, errors.Fault]:
        """Delete segments that are no longer needed.

        :returns: how many, or a fault
        """
        held = self.accepted.read_root()
        if held.is_error():
            return expression.Error(held.error)
        root = held.ok.root
        past = self.accepted.read_history(root)
        return past.bind(
            lambda entries: self._segments.collect(
                root, history.list_replaced_digests(entries)
            )
        )

    def _try(
        self, submission: submissions.Submission
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        read = self.accepted.read_root()
        if read.is_error():
            return expression.Error(read.error)
        held = read.ok
        if not self._is_current(held, submission):
            return submissions.reject_stale_root()
        found = self._find(held.root, submission)
        if found.is_error():
            return found
        if found.ok is not None:
            # Whoever tried before may have died before it told any VM.
            rows = self.accepted.read_segments(held.root)
            self._announce(held.root, rows.default_value([]))
            return found
        # A newer root without the edit: the unanswered update had no
        # effect, and its version is gone for good.
        submission.ambiguous_revision = None
        made = self._make_root(submission, held)
        return made.bind(lambda new: self._accept(submission, held, new))

    def _accept(
        self,
        submission: submissions.Submission,
        held: root_store.VersionedRoot,
        new: submissions.NewState,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        written = self._write(submission, held, new.root)
        if written.is_ok():
            self._announce(new.root, new.segments)
        return written

    def _is_current(
        self,
        held: root_store.VersionedRoot,
        submission: submissions.Submission,
    ) -> bool:
        return (
            held.version > submission.stale_version
            and held.root.revision >= self._read_revision()
        )

    def _find(
        self, root: roots.Root, submission: submissions.Submission
    ) -> expression.Result[submissions.AcceptedEdit | None, errors.Fault]:
        """Look for the edit among those that were accepted."""
        edit_id = submission.edit.edit_id
        mark = root.find_edit(edit_id)
        if mark is not None:
            return expression.Ok(
                submissions.AcceptedEdit(edit_id, mark.revision)
            )
        if len(root.marks) < roots.MAX_EDIT_RECORDS:
            return expression.Ok(None)
        past = self.accepted.read_history(root)
        if past.is_error():
            return expression.Error(past.error)
        revision = history.find_edit(past.ok, edit_id)
        if revision is not None:
            return expression.Ok(submissions.AcceptedEdit(edit_id, revision))
        unknown = submission.ambiguous_revision
        if unknown is not None and past.ok[0]["revision"] > unknown + 1:
            return submissions.reject_unverifiable_edit(edit_id)
        return expression.Ok(None)

    def _make_root(
        self,
        submission: submissions.Submission,
        held: root_store.VersionedRoot,
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        """Write what the new root needs; that alone changes nothing."""
        edit = submission.edit
        made = self.accepted.read_tables(held.root).bind(edit.apply)
        past = self.accepted.read_history(held.root)
        if made.is_error() or past.is_error():
            return made if made.is_error() else past
        split = segments.split_tables(made.ok)
        old = held.root.list_row_segments()
        retired = old - split.segments.keys()
        entries = history.add_edit(
            past.ok, edit, held.root, retired, self._clock.wall_ms()
        )
        log = segments.make_segment({"history": entries})
        added = sorted(split.segments.keys() - old)
        new = [split.segments[name] for name in added]
        written = self._write_segments([*new, log], held.root.revision)
        self.accepted.cache_history(log)
        root = roots.Root(
            held.root.revision + 1,
            split.shards,
            log.digest,
            held.root.append_edit(edit.edit_id),
        )
        return written.map(lambda _: submissions.NewState(root, new))

    def _make_restored(
        self,
        edit: edits.Edit,
        old: roots.Root,
        root: roots.Root,
        rows: list[segments.Segment],
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        past = self.accepted.read_history(old).default_value([])
        entries = history.add_edit(
            past, edit, root, set(), self._clock.wall_ms()
        )
        log = segments.make_segment({"history": entries})
        new_root = roots.Root(
            root.revision + 1,
            root.shards,
            log.digest,
            root.append_edit(edit.edit_id),
        )
        written = self._write_segments([*rows, log], old.revision)
        return written.map(lambda _: submissions.NewState(new_root, rows))

    def _write_segments(
        self, new: list[segments.Segment], revision: int
    ) -> expression.Result[None, errors.Fault]:
        for segment in new:
            if len(segment.content) > segments.MAX_SEGMENT_BYTES:
                return submissions.reject_oversized_segment(segment)
            written = self._segments.write(segment, revision)
            if written.is_error():
                return written
        return expression.Ok(None)

    def _write(
        self,
        submission: submissions.Submission,
        held: root_store.VersionedRoot,
        root: roots.Root,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        """Send the same update until there is a definite answer."""
        while True:
            written = self.accepted.write_root(held, root)
            if written.is_ok():
                return expression.Ok(
                    submissions.AcceptedEdit(
                        submission.edit.edit_id, root.revision
                    )
                )
            fault = written.error
            if fault.code is not errors.Code.PLATFORM_UNAVAILABLE:
                submission.stale_version = held.version
                return expression.Error(fault)
            if fault.run is not errors.ExecutionStatus.NOT_RUN:
                submission.ambiguous_revision = held.root.revision
            if submission.deadline.has_passed(self._clock.now_ms()):
                return expression.Error(fault)
            self._pause(submission)

    def _pause(self, submission: submissions.Submission) -> None:
        pause_ms = submission.pause_ms
        self._clock.sleep_ms(self._random.randint(pause_ms // 2, pause_ms))
        submission.pause_ms = min(pause_ms * 2, MAX_BACKOFF_MS)

    def _log(
        self,
        submission: submissions.Submission,
        accepted: submissions.AcceptedEdit,
    ) -> None:
        LOG.info(
            "edit accepted: revision %d, id %s, operator %s: %s",
            accepted.revision,
            accepted.edit_id,
            submission.edit.operator,
            submission.edit.describe(),
        )
