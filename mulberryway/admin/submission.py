"""The state of an edit during submission, and its possible faults."""

import typing

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.objects import roots as root_store
from mulberryway.tables import edits
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = [
    "AcceptedEdit",
    "NewState",
    "Submission",
    "is_retriable",
    "reject_unverifiable_edit",
    "reject_oversized_segment",
    "reject_restore",
    "reject_stale_root",
]

INITIAL_BACKOFF_MS = 20


class AcceptedEdit:
    """An edit that is stored in the platform, but may not be in force yet.

    :param edit_id: the edit's id
    :param revision: the revision that the edit created
    """

    __slots__ = ("edit_id", "revision")

    def __init__(self, edit_id: str, revision: int) -> None:
        self.edit_id = edit_id
        self.revision = revision


class Submission:
    """The state of an edit while it is being submitted.

    :param edit: the edit
    :param deadline: when to stop retrying
    """

    __slots__ = (
        "edit",
        "deadline",
        "stale_version",
        "ambiguous_revision",
        "pause_ms",
    )

    def __init__(self, edit: edits.Edit, deadline: clock.Deadline) -> None:
        self.edit = edit
        self.deadline = deadline
        # The newest version of the root object that is known to be stale.
        self.stale_version = -1
        # The base revision of an update whose outcome is unknown.
        self.ambiguous_revision: int | None = None
        self.pause_ms = INITIAL_BACKOFF_MS

    def resolve_fault(self, fault: errors.Fault) -> errors.Fault:
        """Set a fault's execution status from the outcome of the updates.

        :param fault: why the submission failed
        :returns: the fault
        """
        is_ambiguous = self.ambiguous_revision is not None
        fault.run = (
            errors.ExecutionStatus.MAY_HAVE_RUN
            if is_ambiguous
            else errors.ExecutionStatus.NOT_RUN
        )
        return fault


class NewState:
    """The result of an edit.

    :param root: the new root
    :param segments: the segments that the previous root lacks
    """

    __slots__ = ("root", "segments")

    def __init__(
        self, root: roots.Root, new_segments: list[segments.Segment]
    ) -> None:
        self.root = root
        self.segments = new_segments


def is_retriable(fault: errors.Fault) -> bool:
    """Return whether a fault comes from the platform and not from the edit.

    A conflict or a missing segment at the platform means that the root has
    changed, and the next attempt reads the new one.
    """
    return fault.step is errors.Step.PLATFORM and fault.code in (
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Code.CONFLICT,
        errors.Code.NOT_FOUND,
    )


def reject_stale_root() -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for an outdated root from the platform."""
    return expression.Error(
        errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Step.PLATFORM,
            root_store.KIND,
            message="the platform returned an outdated root",
        )
    )


def reject_unverifiable_edit(
    edit_id: str,
) -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for an edit that may be too old for the history.

    :param edit_id: the edit's id
    """
    return expression.Error(
        errors.Fault(
            errors.Code.CONFLICT,
            errors.Step.ADMIN,
            edit_id,
            message="the history no longer shows whether the edit was "
            "accepted",
        )
    )


def reject_oversized_segment(
    segment: segments.Segment,
) -> expression.Result[None, errors.Fault]:
    """Return the fault for a segment that exceeds the object size limit.

    :param segment: the segment
    """
    return expression.Error(
        errors.Fault(
            errors.Code.INVALID_TABLES,
            errors.Step.TABLES,
            "segment",
            message=f"a segment has {len(segment.content)} bytes; "
            f"expected at most {segments.MAX_SEGMENT_BYTES}",
        )
    )


def reject_restore(
    revision: int,
) -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for a restore without a preceding rollback.

    :param revision: the revision in the platform's store
    """
    return expression.Error(
        errors.Fault(
            errors.Code.CONFLICT,
            errors.Step.ADMIN,
            root_store.KIND,
            message=f"the platform has revision {revision}, which is not "
            "older than the revision in force on the VMs",
        )
    )
