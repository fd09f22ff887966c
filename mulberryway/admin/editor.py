"""Writes operators' edits to the platform, idempotently."""

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
    """Writes new segments, then updates the root conditionally.

    An edit is accepted by the update of the root and by nothing else.  The
    update carries the version on which it is based, so the second of two
    concurrent edits gets a conflict and is validated again against the result
    of the first.  An update without a response is retried unchanged, because
    it can take effect only once.  A conflict then means that the root has
    changed, and the newer root shows whether it contains the edit.

    :param store: the platform's object store
    :param clock_: the clock
    :param rng: the random generator for the backoff between attempts
    :param read_revision: returns the revision in force on this VM; an older
        root from the platform is stale and is not edited
    :param announce: sends an accepted root and its new segments to some VMs;
        called before the operator gets the response

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
        """Submit an edit until it is accepted, rejected or timed out.

        :param edit: the edit; submitting the same id again is idempotent
        :param timeout_ms: how long to retry, in ms
        :returns: the accepted edit, or a fault: ``NOT_RUN`` if the edit has
            no effect and will have none, ``MAY_HAVE_RUN`` if that is unknown
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        submission = submissions.Submission(edit, deadline)
        while True:
            result = self._attempt(submission)
            if result.is_ok():
                self._log_accepted(submission, result.ok)
                return result
            is_expired = deadline.has_passed(self._clock.now_ms())
            if is_expired or not submissions.is_retriable(result.error):
                return expression.Error(submission.resolve_fault(result.error))
            self._back_off(submission)

    def restore(
        self,
        edit: edits.Edit,
        root: roots.Root,
        rows: list[segments.Segment],
        timeout_ms: int,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        """Restore the newest state of the VMs after a rollback of the store.

        After the store was restored from an old backup, VMs keep their newer
        tables and reject the old root, and edits are rejected while the root
        is older than the tables in force.  This method writes the tables in
        force back to the store under a new revision.

        :param edit: provides id and operator; it has no changes
        :param root: the newest root that a VM has in force
        :param rows: all segments of that root with rows
        :param timeout_ms: how long to retry, in ms
        :returns: the accepted edit, or a fault: ``CONFLICT`` if the root in
            the store is not older
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        submission = submissions.Submission(edit, deadline)
        current = self.accepted.read_root()
        if current.is_error():
            return expression.Error(submission.resolve_fault(current.error))
        if current.ok.root.revision >= root.revision:
            return submissions.reject_restore(current.ok.root.revision)
        new_state = self._make_restored(edit, current.ok.root, root, rows)
        accepted_edit = new_state.bind(
            lambda new: self._accept(submission, current.ok, new)
        )
        if accepted_edit.is_error():
            return expression.Error(
                submission.resolve_fault(accepted_edit.error)
            )
        self._log_accepted(submission, accepted_edit.ok)
        return accepted_edit

    def collect_garbage(self) -> expression.Result[int, errors.Fault]:
        """Delete segments that are no longer needed.

        :returns: the number of deleted segments, or a fault
        """
        current = self.accepted.read_root()
        if current.is_error():
            return expression.Error(current.error)
        root = current.ok.root
        past = self.accepted.read_history(root)
        return past.bind(
            lambda entries: self._segments.collect_garbage(
                root, history.list_replaced_digests(entries)
            )
        )

    def _attempt(
        self, submission: submissions.Submission
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        read = self.accepted.read_root()
        if read.is_error():
            return expression.Error(read.error)
        current = read.ok
        if not self._is_current(current, submission):
            return submissions.reject_stale_root()
        accepted = self._find_accepted(current.root, submission)
        if accepted.is_error():
            return accepted
        if accepted.ok is not None:
            # The VM that wrote the root may have crashed before announcing it.
            rows = self.accepted.read_segments(current.root)
            self._announce(current.root, rows.default_value([]))
            return accepted
        # The newer root does not contain the edit, so the update without a
        # response had no effect; its base version no longer exists, so it
        # cannot take effect later either.
        submission.ambiguous_revision = None
        new_state = self._make_root(submission, current)
        return new_state.bind(
            lambda new: self._accept(submission, current, new)
        )

    def _accept(
        self,
        submission: submissions.Submission,
        current: root_store.VersionedRoot,
        new: submissions.NewState,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        written = self._write_root(submission, current, new.root)
        if written.is_ok():
            self._announce(new.root, new.segments)
        return written

    def _is_current(
        self,
        current: root_store.VersionedRoot,
        submission: submissions.Submission,
    ) -> bool:
        return (
            current.version > submission.stale_version
            and current.root.revision >= self._read_revision()
        )

    def _find_accepted(
        self, root: roots.Root, submission: submissions.Submission
    ) -> expression.Result[submissions.AcceptedEdit | None, errors.Fault]:
        """Look up the edit among the accepted edits."""
        edit_id = submission.edit.edit_id
        record = root.find_edit(edit_id)
        if record is not None:
            return expression.Ok(
                submissions.AcceptedEdit(edit_id, record.revision)
            )
        if len(root.marks) < roots.MAX_EDIT_RECORDS:
            return expression.Ok(None)
        past = self.accepted.read_history(root)
        if past.is_error():
            return expression.Error(past.error)
        revision = history.find_edit(past.ok, edit_id)
        if revision is not None:
            return expression.Ok(submissions.AcceptedEdit(edit_id, revision))
        unresolved = submission.ambiguous_revision
        if unresolved is not None and past.ok[0]["revision"] > unresolved + 1:
            return submissions.reject_unverifiable_edit(edit_id)
        return expression.Ok(None)

    def _make_root(
        self,
        submission: submissions.Submission,
        current: root_store.VersionedRoot,
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        """Write the segments of a new root; they have no effect without it."""
        edit = submission.edit
        edited = self.accepted.read_tables(current.root).bind(edit.apply)
        past = self.accepted.read_history(current.root)
        if edited.is_error() or past.is_error():
            return edited if edited.is_error() else past
        split = segments.split_tables(edited.ok)
        old = current.root.list_row_segments()
        replaced = old - split.segments.keys()
        entries = history.add_edit(
            past.ok, edit, current.root, replaced, self._clock.wall_ms()
        )
        log = segments.make_segment({"history": entries})
        added = sorted(split.segments.keys() - old)
        new = [split.segments[name] for name in added]
        written = self._write_segments([*new, log], current.root.revision)
        self.accepted.cache_history(log)
        root = roots.Root(
            current.root.revision + 1,
            split.shards,
            log.digest,
            current.root.append_edit(edit.edit_id),
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

    def _write_root(
        self,
        submission: submissions.Submission,
        current: root_store.VersionedRoot,
        root: roots.Root,
    ) -> expression.Result[submissions.AcceptedEdit, errors.Fault]:
        """Retry the same root update until there is a definite response."""
        while True:
            written = self.accepted.write_root(current, root)
            if written.is_ok():
                return expression.Ok(
                    submissions.AcceptedEdit(
                        submission.edit.edit_id, root.revision
                    )
                )
            fault = written.error
            if fault.code is not errors.Code.PLATFORM_UNAVAILABLE:
                submission.stale_version = current.version
                return expression.Error(fault)
            if fault.run is not errors.ExecutionStatus.NOT_RUN:
                submission.ambiguous_revision = current.root.revision
            if submission.deadline.has_passed(self._clock.now_ms()):
                return expression.Error(fault)
            self._back_off(submission)

    def _back_off(self, submission: submissions.Submission) -> None:
        pause_ms = submission.pause_ms
        self._clock.sleep_ms(self._random.randint(pause_ms // 2, pause_ms))
        submission.pause_ms = min(pause_ms * 2, MAX_BACKOFF_MS)

    def _log_accepted(
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
