"""One edit on its way to acceptance, and the ways in which it can end."""

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
    """The platform holds an edit; it need not be in force yet.

    :param edit_id: the edit's own id
    :param revision: the revision that it made
    """

    __slots__ = ("edit_id", "revision")

    def __init__(self, edit_id: str, revision: int) -> None:
        self.edit_id = edit_id
        self.revision = revision


class Submission:
    """How far one edit has come.

    :param edit: the edit
    :param deadline: when to give up
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
        # The platform's version that is known to be outdated.
        self.stale_version = -1
        # The revision from which an update was sent whose end is unknown.
        self.ambiguous_revision: int | None = None
        self.pause_ms = INITIAL_BACKOFF_MS

    def end(self, fault: errors.Fault) -> errors.Fault:
        """Return a fault that tells truly whether the edit may stand.

        :param fault: why it goes no further
        """
        unknown = self.ambiguous_revision is not None
        fault.run = (
            errors.ExecutionStatus.MAY_HAVE_RUN
            if unknown
            else errors.ExecutionStatus.NOT_RUN
        )
        return fault


class NewState:
    """What an edit makes.

    :param root: the new root
    :param segments: segments that the root before does not name
    """

    __slots__ = ("root", "segments")

    def __init__(
        self, root: roots.Root, new_segments: list[segments.Segment]
    ) -> None:
        self.root = root
        self.segments = new_segments


def is_retriable(fault: errors.Fault) -> bool:
    """Tell faults of the platform from refusals of the edit itself.

    A conflict or a missing segment at the platform means that the root has
    moved on, which the next try sees.
    """
    return fault.step is errors.Step.PLATFORM and fault.code in (
        errors.Code.PLATFORM_UNAVAILABLE,
        errors.Code.CONFLICT,
        errors.Code.NOT_FOUND,
    )


def reject_stale_root() -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for a root older than one that is known."""
    return expression.Error(
        errors.Fault(
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Step.PLATFORM,
            root_store.KIND,
            message="the platform answers with an older root than is known",
        )
    )


def reject_unverifiable_edit(
    edit_id: str,
) -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for an edit too old to be told about.

    :param edit_id: the edit's own id
    """
    return expression.Error(
        errors.Fault(
            errors.Code.CONFLICT,
            errors.Step.ADMIN,
            edit_id,
            message="the history no longer tells whether the edit stands",
        )
    )


def reject_oversized_segment(
    segment: segments.Segment,
) -> expression.Result[None, errors.Fault]:
    """Return the fault for rows that do not fit one object.

    :param segment: the rows' segment
    """
    return expression.Error(
        errors.Fault(
            errors.Code.INVALID_TABLES,
            errors.Step.TABLES,
            "segment",
            message=f"rows of one segment take {len(segment.content)} bytes; "
            f"expected at most {segments.MAX_SEGMENT_BYTES}",
        )
    )


def reject_restore(
    revision: int,
) -> expression.Result[typing.Any, errors.Fault]:
    """Return the fault for a platform that need not be brought forward.

    :param revision: the platform's
    """
    return expression.Error(
        errors.Fault(
            errors.Code.CONFLICT,
            errors.Step.ADMIN,
            root_store.KIND,
            message=f"the platform has revision {revision}, which is not "
            "older than what the VMs have in force",
        )
    )
