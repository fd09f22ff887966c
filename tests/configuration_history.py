"""Checks operators' results and VMs' tables after one schedule."""

import collections

from mulberryway import errors
from mulberryway.tables import model
from mulberryway.tables import parse
from mulberryway.tables import root as roots
from mulberryway.tables import segments
from mulberryway.tables import validate

FRESH_MS = 15_000
# Allows for one late step and for one lost message.
SLACK_MS = 3_000


def check(world):
    """Return the violations as pairs of the rule's name and the details."""
    chain = read_chain(world)
    return [
        *check_answers(world, chain),
        *check_chain(world, chain),
        *check_installs(world, chain),
        *check_serving(world, chain),
        *(("segment lost", name) for name in world.lost_segments),
    ]


def read_chain(world):
    versions = world.store.history.get(("roots", "root"), [])
    return [
        (world.store.written_ms[stored.version], decode(stored.value))
        for stored in versions
    ]


def decode(value):
    return roots.Root.decode(value)


def check_answers(world, chain):
    applied = collections.Counter(
        root.marks[-1].edit_id for _, root in chain if root.marks
    )
    revisions = {root.marks[-1].edit_id: root.revision for _, root in chain}
    for edit_id, count in applied.items():
        if count > 1:
            yield "applied twice", edit_id
    for answer in world.answers:
        edit_id = answer.edit.edit_id
        if answer.result.is_ok():
            if revisions.get(edit_id) != answer.result.ok.revision:
                yield "accepted but missing", edit_id
        elif answer.result.error.run is errors.ExecutionStatus.NOT_RUN:
            earlier = [
                other
                for other in world.answers
                if other.edit is answer.edit and other is not answer
            ]
            if edit_id in applied and not earlier:
                yield "rejected but present", edit_id


def check_chain(world, chain):
    """Check that each root equals the edits so far and is valid."""
    tables = model.Tables(0, (), (), ())
    for _, root in chain:
        if root.revision != tables.revision + 1:
            yield "revision skipped or reverted", root.revision
            return
        edit = world.edits[root.marks[-1].edit_id]
        actual = read_tables(world, root)
        applied = edit.apply(tables)
        if validate.validate_tables(actual).is_error():
            yield "joined tables invalid", root.revision
            return
        if applied.is_error() or parse.encode_tables(
            applied.ok
        ) != parse.encode_tables(actual):
            yield "edit lost or reverted", root.revision
            return
        tables = actual


def read_tables(world, root):
    cache = segments.SegmentCache()
    for digest in root.list_row_segments():
        versions = world.store.history[("segments", digest)]
        value = next(version.value for version in versions if version.value)
        assert cache.add(digest, roots.encode_content(value["rows"]))
    return cache.assemble_tables(root)


def check_installs(world, chain):
    digests = {root.revision: root.digest() for _, root in chain}
    for vm in world.incarnations:
        last = 0
        for revision, digest in vm.installs:
            if revision <= last:
                yield "revision fell on a VM", (vm.name, last, revision)
            if digests.get(revision) != digest:
                yield "never accepted", (vm.name, revision)
            last = revision


def check_serving(world, chain):
    """Check that no VM serves with tables that are outdated for too long.

    Time in which all VMs are paused does not count: none of them serves
    requests in it, and none can receive the edit.
    """
    accepted = [
        (answer.at_ms, answer.result.ok.revision)
        for answer in world.answers
        if answer.result.is_ok()
    ]
    for now_ms, name, revision in world.serving:
        required = [
            known
            for at_ms, known in accepted
            if compute_running_ms(world, at_ms, now_ms) > FRESH_MS + SLACK_MS
        ]
        if required and max(required) > revision:
            yield (
                "outdated tables used",
                (now_ms, name, revision, max(required)),
            )


def compute_running_ms(world, from_ms, to_ms):
    """Return the time in ms that the VMs were not all paused."""
    paused_ms = sum(
        max(0, min(end_ms, to_ms) - max(start_ms, from_ms))
        for start_ms, end_ms in world.freezes
    )
    return to_ms - from_ms - paused_ms
