"""Calls the VMs on behalf of the administration API."""

import concurrent.futures
import json
import logging
import random

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.admin import responses
from mulberryway.admin import submission as submissions
from mulberryway.peers.gen.configuration import Configuration
from mulberryway.peers.gen.configuration import ttypes
from mulberryway.tables import root as roots
from mulberryway.tables import segments

__all__ = ["Fleet"]

LOG = logging.getLogger(__name__)

THREADS = 16
# An edit is announced to two VMs besides this one before the operator gets the
# response, so it still reaches the other VMs if one VM crashes or the platform
# becomes unavailable.
ANNOUNCE_FANOUT = 2
POLL_MS = 100
# A VM may rely on confirmations from VMs that had not received the edit yet.
PROPAGATION_MARGIN_MS = 3_000


class Fleet:
    """Queries the routers of all VMs and announces roots to them.

    The list of VMs comes from the router on this VM.

    :param client: calls the routers
    :param own_address: the peer address of this VM's router
    :param clock_: the clock
    :param staleness_limit_ms: the time in ms after which a partitioned VM
        rejects requests
    :param rng: the random generator for the choice of VMs
    """

    def __init__(
        self,
        client: peers.PeerClient,
        own_address: str,
        clock_: clock.Clock,
        staleness_limit_ms: int,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._own_address = own_address
        self._clock = clock_
        self._staleness_limit_ms = staleness_limit_ms
        self._random = rng
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS, "fleet")
        self._members: list[ttypes.Member] = []
        self._is_stopping = False

    def stop_waiting(self) -> None:
        """End the waits for a revision; no later one waits."""
        self._is_stopping = True

    def close(self) -> None:
        """Shut down the thread pool."""
        self._pool.shutdown(cancel_futures=True)

    def read_revision(self) -> int:
        """Return the revision of this VM's router; 0 if it is unknown."""
        state = self._fetch_state(self._own_address)
        return state.ok.revision if state.is_ok() else 0

    def announce(
        self, root: roots.Root, new_segments: list[segments.Segment]
    ) -> None:
        """Send an accepted root to this VM's router and to some others.

        :param root: the root
        :param new_segments: the segments that the previous root lacks
        """
        content = roots.encode_content(root.encode())
        encoded = [
            ttypes.Segment(segment.digest, segment.content)
            for segment in new_segments
        ]
        own_zone, others = self._list_others()
        self._random.shuffle(others)
        # VMs in other zones come first, because this VM's whole zone may fail.
        others.sort(key=lambda member: member.zone == own_zone)
        addresses = [self._own_address]
        addresses += [member.address for member in others[:ANNOUNCE_FANOUT]]
        calls = [
            self._pool.submit(
                self._client.call,
                address,
                Configuration.Client,
                "offer_root",
                content,
                encoded,
                is_idempotent=True,
            )
            for address in addresses
        ]
        results = [call.result() for call in calls]
        accepted_count = sum(
            result.is_ok() and result.ok for result in results
        )
        if accepted_count == 0:
            LOG.error(
                "revision %d could not be announced to any VM; if the "
                "platform becomes unavailable now, the revision takes effect "
                "only after the outage",
                root.revision,
            )

    def fetch_vm_states(self) -> list[responses.VmState]:
        """Return the state of each VM that this VM's router lists."""
        return self._fetch_states(self._list_members())

    def fetch_newest_state(
        self,
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        """Return the newest root that a VM has in force, with its rows."""
        members = self._list_members()
        states = {
            state.name: state.revision for state in self._fetch_states(members)
        }
        if not states:
            return expression.Error(_make_no_vm_fault())
        newest = max(members, key=lambda member: states[member.name])
        reply = self._client.call(
            newest.address,
            Configuration.Client,
            "read_root",
            0,
            is_idempotent=True,
        )
        return reply.bind(
            lambda newest_root: self._fetch_rows(
                newest.address, newest_root.content
            )
        )

    def _fetch_rows(
        self, address: str, content: bytes
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        if not content:
            return expression.Error(_make_no_vm_fault())
        root = roots.Root.decode(json.loads(content))
        missing = root.list_row_segments()
        rows: list[segments.Segment] = []
        while missing:
            reply = self._client.call(
                address,
                Configuration.Client,
                "read_segments",
                sorted(missing),
                is_idempotent=True,
            )
            if reply.is_error() or not reply.ok:
                return expression.Error(_make_no_vm_fault())
            rows += [
                segments.Segment(segment.digest, segment.content)
                for segment in reply.ok
            ]
            missing -= {segment.digest for segment in reply.ok}
        return expression.Ok(submissions.NewState(root, rows))

    def wait_in_force(
        self, revision: int, timeout_ms: int
    ) -> responses.RolloutResponse:
        """Wait until no VM serves with tables older than a revision.

        An unreachable VM is assumed to reject requests once its last
        confirmation, and those that it got from other VMs, have expired.  The
        wait ends early when the program stops.

        :param revision: an accepted revision
        :param timeout_ms: the maximum wait, in ms
        :returns: the state of the rollout
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        members = {member.name: member for member in self._list_members()}
        last_reached_ms = dict.fromkeys(members, self._clock.now_ms())
        states: dict[str, responses.VmState] = {}
        waiting = list(members)
        while True:
            # VMs that have the revision are not polled again, which matters
            # in a fleet of 410 VMs.
            polled = self._fetch_states([members[name] for name in waiting])
            now_ms = self._clock.now_ms()
            for state in polled:
                states[state.name] = state
                if state.is_reached:
                    last_reached_ms[state.name] = now_ms
            waiting = [
                state.name
                for state in polled
                if not self._is_up_to_date(
                    state, revision, last_reached_ms[state.name]
                )
            ]
            is_done = bool(members) and not waiting
            has_ended = self._is_stopping or deadline.has_passed(now_ms)
            if is_done or has_ended:
                return responses.RolloutResponse(
                    revision, is_done, waiting, list(states.values())
                )
            self._clock.sleep_ms(POLL_MS)

    def _is_up_to_date(
        self, state: responses.VmState, revision: int, last_reached_ms: int
    ) -> bool:
        if state.is_reached:
            return state.revision >= revision or not state.is_serving
        unreachable_ms = self._clock.now_ms() - last_reached_ms
        return (
            unreachable_ms > self._staleness_limit_ms + PROPAGATION_MARGIN_MS
        )

    def _fetch_states(
        self, members: list[ttypes.Member]
    ) -> list[responses.VmState]:
        replies = self._pool.map(
            lambda member: self._fetch_state(member.address), members
        )
        return [
            _make_vm_state(member, reply)
            for member, reply in zip(members, replies, strict=True)
        ]

    def _list_members(self) -> list[ttypes.Member]:
        reply = self._client.call(
            self._own_address,
            Configuration.Client,
            "list_members",
            is_idempotent=True,
        )
        if reply.is_ok():
            self._members = reply.ok
        return list(self._members)

    def _list_others(self) -> tuple[str, list[ttypes.Member]]:
        members = self._list_members()
        own = [
            member for member in members if member.address == self._own_address
        ]
        others = [
            member
            for member in members
            if member.is_alive and member.address != self._own_address
        ]
        return (own[0].zone if own else ""), others

    def _fetch_state(
        self, address: str
    ) -> expression.Result[ttypes.RootReply, errors.Fault]:
        # No root has a revision this high, so the reply omits the content.
        return self._client.call(
            address,
            Configuration.Client,
            "read_root",
            (1 << 62),
            is_idempotent=True,
        )


def _make_vm_state(
    member: ttypes.Member,
    reply: expression.Result[ttypes.RootReply, errors.Fault],
) -> responses.VmState:
    if reply.is_error():
        return responses.VmState(member.name, member.zone, False)
    return responses.VmState(
        member.name,
        member.zone,
        True,
        reply.ok.revision,
        reply.ok.age_ms,
        reply.ok.is_serving,
    )


def _make_no_vm_fault() -> errors.Fault:
    return errors.Fault(
        errors.Code.PEER_UNREACHABLE,
        errors.Step.ADMIN,
        message="no VM with tables could be reached",
    )
