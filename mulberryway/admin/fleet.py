"""The VMs as the administration API reaches them."""

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
# Two more VMs than the own one hear of an edit before the operator does, so
# that neither one VM's death nor an outage keeps it from the others.
ANNOUNCE_FANOUT = 2
POLL_MS = 100
# A VM may have the word of others that had not heard of an edit yet.
PROPAGATION_MARGIN_MS = 3_000


class Fleet:
    """Asks and tells the routers, beginning with the one on this VM.

    :param client: calls the routers
    :param own_address: the peers' side of this VM's router
    :param clock_: where the time comes from
    :param staleness_limit_ms: after how long a VM that nobody reaches refuses
    :param rng: for the choice of VMs
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
        self._fresh_ms = staleness_limit_ms
        self._random = rng
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS, "fleet")
        self._known: list[ttypes.Member] = []

    def close(self) -> None:
        """End the threads."""
        self._pool.shutdown(cancel_futures=True)

    def read_revision(self) -> int:
        """Return the revision that this VM's router has; 0 if unknown."""
        state = self._read_state(self._own_address)
        return state.ok.revision if state.is_ok() else 0

    def announce(
        self, root: roots.Root, new_segments: list[segments.Segment]
    ) -> None:
        """Hand an accepted root to this VM's router and to some others.

        :param root: the root
        :param new_segments: what is new in it
        """
        content = roots.encode_content(root.encode())
        parts = [
            ttypes.Segment(one.digest, one.content) for one in new_segments
        ]
        own_zone, others = self._list_others()
        self._random.shuffle(others)
        # Other zones first: a zone may be lost in this very moment.
        others.sort(key=lambda member: member.zone == own_zone)
        told = [self._own_address]
        told += [member.address for member in others[:ANNOUNCE_FANOUT]]
        calls = [
            self._pool.submit(
                self._client.call,
                address,
                Configuration.Client,
                "offer_root",
                content,
                parts,
                is_idempotent=True,
            )
            for address in told
        ]
        results = [call.result() for call in calls]
        count = sum(result.is_ok() and result.ok for result in results)
        if count == 0:
            LOG.error(
                "no VM could be told of revision %d; if the platform goes "
                "down now, it comes into force only afterwards",
                root.revision,
            )

    def fetch_vm_states(self) -> list[responses.VmState]:
        """Ask each VM that this VM's router knows for its tables."""
        return self._ask(self._list_members())

    def fetch_newest_state(
        self,
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        """Return the newest root that a VM has in force, with its rows."""
        members = self._list_members()
        states = {state.name: state.revision for state in self._ask(members)}
        if not states:
            return expression.Error(_no_vm())
        newest = max(members, key=lambda member: states[member.name])
        reply = self._client.call(
            newest.address,
            Configuration.Client,
            "read_root",
            0,
            is_idempotent=True,
        )
        return reply.bind(
            lambda found: self._read_rows(newest.address, found.content)
        )

    def _read_rows(
        self, address: str, content: bytes
    ) -> expression.Result[submissions.NewState, errors.Fault]:
        if not content:
            return expression.Error(_no_vm())
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
                return expression.Error(_no_vm())
            rows += [
                segments.Segment(one.digest, one.content) for one in reply.ok
            ]
            missing -= {one.digest for one in reply.ok}
        return expression.Ok(submissions.NewState(root, rows))

    def wait_in_force(
        self, revision: int, timeout_ms: int
    ) -> responses.RolloutResponse:
        """Wait until no VM serves with tables older than a revision.

        A VM that cannot be reached counts as refusing when it has been out
        of reach for so long that its last confirmation, and the word of
        other VMs, have run out.

        :param revision: an accepted revision
        :param timeout_ms: the longest wait
        :returns: how far it has come
        """
        deadline = clock.Deadline(self._clock.now_ms() + timeout_ms)
        members = {one.name: one for one in self._list_members()}
        reached_ms = dict.fromkeys(members, self._clock.now_ms())
        states: dict[str, responses.VmState] = {}
        waiting = list(members)
        while True:
            # Of 410 VMs, those that have it need not be asked again.
            asked = self._ask([members[name] for name in waiting])
            now_ms = self._clock.now_ms()
            for state in asked:
                states[state.name] = state
                if state.is_reached:
                    reached_ms[state.name] = now_ms
            waiting = [
                state.name
                for state in asked
                if not self._is_settled(
                    state, revision, reached_ms[state.name]
                )
            ]
            is_done = bool(members) and not waiting
            if is_done or deadline.has_passed(now_ms):
                return responses.RolloutResponse(
                    revision, is_done, waiting, list(states.values())
                )
            self._clock.sleep_ms(POLL_MS)

    def _is_settled(
        self, state: responses.VmState, revision: int, reached_ms: int
    ) -> bool:
        if state.is_reached:
            return state.revision >= revision or not state.is_serving
        silent_ms = self._clock.now_ms() - reached_ms
        return silent_ms > self._fresh_ms + PROPAGATION_MARGIN_MS

    def _ask(self, members: list[ttypes.Member]) -> list[responses.VmState]:
        replies = self._pool.map(
            lambda member: self._read_state(member.address), members
        )
        return [
            _make_state(member, reply)
            for member, reply in zip(members, replies, strict=True)
        ]

    def _list_members(self) -> list[ttypes.Member]:
        listed = self._client.call(
            self._own_address,
            Configuration.Client,
            "list_members",
            is_idempotent=True,
        )
        if listed.is_ok():
            self._known = listed.ok
        return list(self._known)

    def _list_others(self) -> tuple[str, list[ttypes.Member]]:
        members = self._list_members()
        own = [one for one in members if one.address == self._own_address]
        others = [
            one
            for one in members
            if one.is_alive and one.address != self._own_address
        ]
        return (own[0].zone if own else ""), others

    def _read_state(
        self, address: str
    ) -> expression.Result[ttypes.RootReply, errors.Fault]:
        # A revision that no root has: the content is not wanted.
        return self._client.call(
            address,
            Configuration.Client,
            "read_root",
            (1 << 62),
            is_idempotent=True,
        )


def _make_state(
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


def _no_vm() -> errors.Fault:
    return errors.Fault(
        errors.Code.PEER_UNREACHABLE,
        errors.Step.ADMIN,
        message="no VM with tables could be asked",
    )
