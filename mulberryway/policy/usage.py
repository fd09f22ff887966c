"""Replicated rate limiter: one bucket per account, one counter per VM.

Invariant: no account is granted more than its limit plus the margin that
operators allow.  Each VM counts the tokens that it granted and announces the
count; every VM subtracts the others' counts from its copy of the bucket.
Tokens whose announcement has not arrived yet may be granted twice, so the
margin has to cover one message delay between VMs.
"""

import collections
import collections.abc
import itertools
import random

from mulberryway import tables
from mulberryway.policy import mirror_summary
from mulberryway.policy import usage_bucket
from mulberryway.policy import usage_messages

__all__ = ["AccountUsage", "Margin", "Usage", "ReplicatedRateLimiter"]

MS_IN_S = 1_000
# Longest interval between two messages of a VM; see ``HEARTBEAT_TIMEOUT_MS``.
# In fleets of more than ``HEARTBEAT_SCALING_VMS`` VMs the interval grows in
# proportion, so that the rate of messages that a VM receives stays constant.
HEARTBEAT_MS = 300
HEARTBEAT_SCALING_VMS = 40
# A partitioned VM may still have callers, and both sides would grant the full
# rate.  After three missed heartbeats the unresponsive VM's fraction of rate
# and burst is reserved for it.
HEARTBEAT_TIMEOUT_MS = 950
# A VM that was unresponsive this long is probably not coming back, and its
# fraction would be lost to all.  Only VMs that receive messages from more
# than half of the fleet take it over: a VM that is partitioned alone receives
# none and keeps to its own fraction.
EVICTION_TIMEOUT_MS = 12_000
# Number of evicted VMs whose last counts are kept in case they return.
MAX_EVICTED_PEERS = 256
# Fraction of the operators' margin that is granted in advance, so that delays
# and rounding cause no rejections within the rate.  The rest covers tokens
# that were not announced yet.  At the peak a hot account requests about
# 300,000 tokens per second, so one delay of 100 ms is worth 30,000.
UPFRONT_MARGIN_FRACTION = 0.1
# Fraction of an account's limit in one window by which VMs that are killed,
# are partitioned or receive counts late overrun in the worst case, over the
# 500 schedules of the tests: with 0.2 there were overruns in 2 of 300
# schedules, with 0.3 in none.  Any margin beyond that is added to the rate.
# This matters for accounts whose margin is large compared with their rate: one
# of 30,000 tokens per second that requests several times that gets 14 percent
# more.
OVERRUN_RESERVE_FRACTION = 0.3
# VMs that all start at once have no counts.  With empty buckets accounts would
# be rejected within their rate; with full ones an account might get its burst
# twice in a window.  So they start with this fraction of the margin, and each
# VM grants only its own fraction of that until the others' messages arrive.
INITIAL_MARGIN_FRACTION = 0.25
# Fraction for a VM that has received no message since it started although
# others exist: it is partitioned or the first one to start, and their number
# is unknown.
ISOLATED_FRACTION = 0.25
# Incarnation of a VM of which only the name is known.
UNKNOWN = -1
# A VM that has counted this long has all counts from before it started.
WARM_UP_MS = 3_000
# A VM that starts greets all VMs that the store lists.  For this long it has
# not heard from most of them, and its own fraction is too small for a request.
SETTLE_MS = 1_000
# Number of greeted VMs of which a full snapshot is expected in response.
WHOLE_RESPONSES = 8
# Each ``FULL_SYNC_INTERVAL``-th heartbeat is a full snapshot.  While a VM has
# counted for less than ``STARTUP_FULL_SYNC_MS``, every heartbeat is one, or
# every second one in a fleet of more than ``HEARTBEAT_SCALING_VMS``.  The
# others repeat only the accounts announced since the heartbeat before the
# last, in case a message was lost.
FULL_SYNC_INTERVAL = 5
STARTUP_FULL_SYNC_INTERVAL = 2
STARTUP_FULL_SYNC_MS = 4_000


AccountUsage = usage_messages.AccountUsage
Margin = usage_messages.Margin
Usage = usage_messages.Usage


class _Peer:
    """State received from one other VM."""

    __slots__ = (
        "incarnation",
        "sequence",
        "heard_ms",
        "spent",
        "unresponsive_since_ms",
    )

    def __init__(self, incarnation: int, now_ms: int) -> None:
        self.incarnation = incarnation
        self.sequence = 0
        self.heard_ms = now_ms
        self.spent: dict[str, int] = {}
        # Time from which its fraction is reserved; None while it responds.
        self.unresponsive_since_ms: int | None = None


class ReplicatedRateLimiter:
    """One VM's replica of all accounts' buckets.

    :param vm: name of this VM
    :param incarnation: incarnation of this VM
    :param margin: tokens that accounts may get beyond rate and burst
    :param now_ms: current time in ms
    :param has_others: whether other VMs are known to exist
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        margin: Margin,
        now_ms: int,
        has_others: bool = True,
    ) -> None:
        self._has_others = has_others
        self._vm = vm
        self._incarnation = incarnation
        self._margin = margin
        self._started_ms = now_ms
        self._last_heartbeat_ms: int | None = None
        self._numbers = itertools.count(1)
        self._random = random.Random(f"{vm}/{incarnation}")
        self._heartbeats = 0
        self._startup_sync_until_ms = now_ms + STARTUP_FULL_SYNC_MS
        # Accounts announced since the last heartbeat, and in the interval
        # before it.
        self._recent: set[str] = set()
        self._earlier: set[str] = set()
        self._buckets: dict[str, usage_bucket.UsageBucket] = {}
        self._peers: dict[str, _Peer] = {}
        self._evicted: collections.OrderedDict[str, _Peer] = (
            collections.OrderedDict()
        )
        self._has_adopted = False
        # Fraction of all rates that the responsive VMs may grant, and the
        # time until which it is valid unless VMs join or return.
        self._fraction = 1.0
        self._fraction_valid_until_ms = 0

    def update_members(
        self, vms: collections.abc.Iterable[str], now_ms: int
    ) -> None:
        """Apply the set of VMs that the store lists.

        VMs that start while others are partitioned would otherwise mistake
        themselves for the whole fleet.  A VM that has sent no message yet
        counts as unresponsive, and its fraction is reserved for it.

        :param vms: names of VMs
        :param now_ms: current time in ms
        """
        for name in vms:
            if name != self._vm and name not in self._peers:
                self._peers[name] = _Peer(UNKNOWN, now_ms)
        self._fraction_valid_until_ms = 0

    def update_accounts(
        self,
        accounts: collections.abc.Iterable[tables.ClientAccount],
        now_ms: int,
    ) -> None:
        """Apply changed rates and bursts; counts are kept.

        :param accounts: the active accounts
        :param now_ms: current time in ms
        """
        for account in accounts:
            bucket = self._find_bucket(account.name, now_ms)
            bucket.refill(self._get_fraction(now_ms), now_ms)
            is_new = not bucket.burst
            self._set_limits(bucket, account)
            if is_new:
                bucket.level += (
                    self._margin.read_tokens(account) * INITIAL_MARGIN_FRACTION
                )
            bucket.level = min(bucket.level, bucket.burst)
            bucket.shared_level = max(bucket.level, bucket.shared_level)

    def _set_limits(
        self, bucket: usage_bucket.UsageBucket, account: tables.ClientAccount
    ) -> None:
        """Set refill rate and capacity, including the upfront margin."""
        margin = self._margin
        bucket.margin = margin.read_tokens(account)
        if not account.rate:
            bucket.rate = bucket.burst = 0.0
            return
        upfront = 1 + margin.over_part / 2
        extra = margin.over_tokens * UPFRONT_MARGIN_FRACTION
        limit = margin.compute_limit(account)
        remainder = (
            margin.read_tokens(account)
            - limit * (margin.over_part / 2 + OVERRUN_RESERVE_FRACTION)
            - extra
        )
        bucket.rate = account.rate * upfront + (
            max(remainder, 0.0) * MS_IN_S / margin.window_ms
        )
        bucket.burst = account.burst * upfront + extra

    def take(self, account: str, tokens: int, now_ms: int) -> int | None:
        """Take tokens for a request.

        :param account: name of the account
        :param tokens: maximum number of tokens that the request may use
        :param now_ms: current time in ms
        :returns: None if the tokens were taken, else the time in ms until
            they will be available
        """
        bucket = self._find_bucket(account, now_ms)
        if not bucket.rate:
            return None
        fraction = self._get_fraction(now_ms)
        bucket.refill(fraction, now_ms)
        available = bucket.compute_available(fraction)
        # A request larger than the burst is admitted when the bucket is full;
        # the level becomes negative.
        needed = min(tokens, bucket.burst * fraction)
        if available < needed:
            rate = max(bucket.rate * fraction, 1.0)
            return int((needed - available) * MS_IN_S / rate) + 1
        self._spend(bucket, tokens)
        return None

    def refund(self, account: str, tokens: int, now_ms: int) -> None:
        """Refund unused tokens of a request.

        :param account: name of the account
        :param tokens: number of tokens to refund
        :param now_ms: current time in ms
        """
        self._spend(self._find_bucket(account, now_ms), -tokens)

    def describe(
        self, account: str, now_ms: int
    ) -> dict[str, int | float | str]:
        """Return the state that limits an account's grants, for logs.

        :param account: name of the account
        :param now_ms: current time in ms
        :returns: the level in tokens and the values it depends on
        """
        bucket = self._find_bucket(account, now_ms)
        return {
            "left": int(bucket.level),
            "rate": int(bucket.rate),
            "part": round(self._get_fraction(now_ms), 2),
            "heard_ms": max(
                (now_ms - peer.heard_ms for peer in self._peers.values()),
                default=0,
            ),
        }

    def list_unresponsive(self, now_ms: int) -> frozenset[str]:
        """Return known VMs that are unresponsive now.

        :param now_ms: current time in ms
        :returns: their names
        """
        return frozenset(
            name
            for name, peer in self._peers.items()
            if self._is_unresponsive(peer, now_ms)
        )

    def make_usage(
        self,
        mirrors: dict[str, mirror_summary.MirrorSummary],
        now_ms: int,
        has_other_changes: bool = False,
    ) -> Usage | None:
        """Return the message to send to the other VMs now.

        :param mirrors: state of each mirror, by kind
        :param now_ms: current time in ms
        :param has_other_changes: whether anything besides the counts has
            changed
        :returns: a message, or None if nothing is due
        """
        interval_ms = HEARTBEAT_MS * self._compute_interval_scale()
        is_due = (
            self._last_heartbeat_ms is None
            or now_ms - self._last_heartbeat_ms >= interval_ms
        )
        changed = {
            name
            for name, bucket in self._buckets.items()
            if bucket.unannounced
        }
        is_urgent = any(not self._can_defer(name) for name in changed)
        if not is_urgent and not is_due and not has_other_changes:
            return None
        is_whole = is_due and self._needs_full_sync(now_ms)
        self._recent |= changed
        names = changed
        if is_due:
            names = self._recent | self._earlier
            self._earlier, self._recent = self._recent, set()
            self._last_heartbeat_ms = now_ms
            self._heartbeats += 1
        if is_whole:
            names = set(self._buckets)
        announced = {name: self._buckets[name] for name in sorted(names)}
        for bucket in announced.values():
            bucket.announced = bucket.spent
        return Usage(
            self._vm,
            self._incarnation,
            next(self._numbers),
            [
                AccountUsage(name, bucket.spent, int(bucket.level))
                for name, bucket in announced.items()
                if bucket.spent or bucket.rate
            ],
            mirrors,
            now_ms - self._started_ms,
            is_whole=is_whole,
            is_heartbeat=not is_urgent and not has_other_changes,
        )

    def make_greeting(
        self, mirrors: dict[str, mirror_summary.MirrorSummary], now_ms: int
    ) -> Usage:
        """Return the message to send to VMs that may not know this one.

        It does not replace an announcement to all VMs.  It is a snapshot if
        this VM has counted for long enough, and only with some probability,
        because the other VM needs few snapshots.

        :param mirrors: state of each mirror, by kind
        :param now_ms: current time in ms
        """
        age_ms = now_ms - self._started_ms
        probability = WHOLE_RESPONSES / max(len(self._peers), 1)
        is_whole = age_ms >= WARM_UP_MS and (
            self._random.random() < probability
        )
        return Usage(
            self._vm,
            self._incarnation,
            next(self._numbers),
            [
                AccountUsage(name, bucket.spent, int(bucket.level))
                for name, bucket in self._buckets.items()
                if bucket.spent or (is_whole and bucket.rate)
            ],
            mirrors,
            age_ms,
            is_whole=is_whole,
            is_heartbeat=True,
        )

    def is_settling(self, now_ms: int) -> bool:
        """Return whether VMs that have just started will soon be heard.

        :param now_ms: current time in ms
        """
        return now_ms - self._started_ms < SETTLE_MS and any(
            peer.incarnation == UNKNOWN for peer in self._peers.values()
        )

    def _can_defer(self, name: str) -> bool:
        """Return whether an account's count may wait for a heartbeat.

        In a small fleet there are few messages, and each VM would withhold a
        larger count.
        """
        vms = len(self._peers) + 1
        return vms > HEARTBEAT_SCALING_VMS and self._buckets[name].can_defer(
            vms
        )

    def compute_next_heartbeat_ms(self) -> int:
        """Return the time in ms of the next heartbeat."""
        if self._last_heartbeat_ms is None:
            return self._started_ms
        return int(
            self._last_heartbeat_ms
            + HEARTBEAT_MS * self._compute_interval_scale()
        )

    def _needs_full_sync(self, now_ms: int) -> bool:
        interval = FULL_SYNC_INTERVAL
        if now_ms < self._startup_sync_until_ms:
            interval = (
                STARTUP_FULL_SYNC_INTERVAL
                if self._compute_interval_scale() > 1
                else 1
            )
        return self._heartbeats % interval == 0

    def merge_usage(self, usage: Usage, now_ms: int) -> bool:
        """Merge another VM's counts.

        :param usage: its message; late and duplicate ones are ignored
        :param now_ms: current time in ms
        :returns: whether it is the first one of a VM that has just started
        """
        if usage.vm == self._vm:
            return False
        peer = self._peers.get(usage.vm)
        if peer is None and usage.vm in self._evicted:
            peer = self._peers[usage.vm] = self._evicted.pop(usage.vm)
            peer.unresponsive_since_ms = None
            self._fraction_valid_until_ms = 0
        is_new = peer is None or peer.incarnation != usage.incarnation
        if peer is None or is_new:
            self._restore_fraction(peer, now_ms)
            peer = _Peer(usage.incarnation, now_ms)
            self._peers[usage.vm] = peer
        elif usage.sequence <= peer.sequence:
            return False
        was_unresponsive = peer.unresponsive_since_ms is not None
        self._restore_fraction(peer, now_ms)
        peer.sequence = usage.sequence
        peer.heard_ms = now_ms
        if was_unresponsive or is_new:
            self._fraction_valid_until_ms = 0
        if usage.age_ms < STARTUP_FULL_SYNC_MS:
            self._startup_sync_until_ms = max(
                self._startup_sync_until_ms,
                now_ms + STARTUP_FULL_SYNC_MS - usage.age_ms,
            )
        self._adopt(usage, now_ms)
        for entry in usage.accounts:
            self._subtract(peer, entry, now_ms)
        return is_new and usage.age_ms < SETTLE_MS

    def _adopt(self, usage: Usage, now_ms: int) -> None:
        # A VM that has just started lacks the counts of tokens granted
        # before; one that has counted for long enough has them.
        if (
            self._has_adopted
            or usage.age_ms < WARM_UP_MS
            or not usage.is_whole
        ):
            return
        if now_ms - self._started_ms > WARM_UP_MS:
            self._has_adopted = True
            return
        self._has_adopted = bool(usage.accounts)
        for entry in usage.accounts:
            bucket = self._find_bucket(entry.account, now_ms)
            bucket.level = float(entry.left) - bucket.spent

    def _subtract(self, peer: _Peer, entry: AccountUsage, now_ms: int) -> None:
        # Tokens that a VM granted before this one started are part of the
        # adopted levels.  After warm-up, a VM's first count was granted just
        # now.
        is_warming_up = now_ms - self._started_ms < WARM_UP_MS
        first = entry.spent if is_warming_up else 0
        before = peer.spent.get(entry.account, first)
        peer.spent[entry.account] = entry.spent
        bucket = self._find_bucket(entry.account, now_ms)
        # Refill first: tokens that would have overflowed the bucket must not
        # compensate for the ones subtracted now.
        bucket.refill(self._get_fraction(now_ms), now_ms)
        bucket.level -= entry.spent - before

    def _restore_fraction(self, peer: _Peer | None, now_ms: int) -> None:
        """Add the refill that was reserved for a VM while unresponsive."""
        if peer is None or peer.unresponsive_since_ms is None:
            return
        elapsed_ms = min(
            now_ms - peer.unresponsive_since_ms, EVICTION_TIMEOUT_MS
        )
        fraction = 1.0 / (len(self._peers) + 1)
        # The refill up to now is computed with the VM still unresponsive.
        before = self._get_fraction(now_ms)
        peer.unresponsive_since_ms = None
        for bucket in self._buckets.values():
            bucket.refill(before, now_ms)
            bucket.level = min(
                bucket.level + bucket.rate * fraction * elapsed_ms / MS_IN_S,
                bucket.burst,
            )

    def _get_fraction(self, now_ms: int) -> float:
        """Return the fraction of all rates that responsive VMs may grant.

        It is needed for each account of each message, forty messages per
        second in a fleet of ninety VMs.  Counting ninety VMs takes 33 us, so
        a message of sixteen accounts would take 627 us.  It takes 18 us with
        the fraction cached until a VM joins, returns, becomes unresponsive
        or is evicted.
        """
        if now_ms >= self._fraction_valid_until_ms:
            self._fraction = self._compute_fraction(now_ms)
            self._fraction_valid_until_ms = self._compute_valid_until_ms(
                now_ms
            )
        return self._fraction

    def _compute_valid_until_ms(self, now_ms: int) -> int:
        """Return when a VM next becomes unresponsive or is evicted, in ms."""
        timeout_ms = int(HEARTBEAT_TIMEOUT_MS * self._compute_interval_scale())
        changes = (
            peer.heard_ms
            + (
                timeout_ms
                if peer.unresponsive_since_ms is None
                else EVICTION_TIMEOUT_MS
            )
            for peer in self._peers.values()
        )
        return min(
            (at_ms for at_ms in changes if at_ms > now_ms),
            default=now_ms + timeout_ms,
        )

    def _compute_fraction(self, now_ms: int) -> float:
        unresponsive = [
            peer
            for peer in self._peers.values()
            if self._is_unresponsive(peer, now_ms)
        ]
        if len(unresponsive) * 2 < len(self._peers) + 1:
            self._evict_peers(now_ms)
            unresponsive = [
                peer
                for peer in unresponsive
                if now_ms - peer.heard_ms < EVICTION_TIMEOUT_MS
            ]
        for peer in unresponsive:
            if peer.unresponsive_since_ms is None:
                peer.unresponsive_since_ms = now_ms
        if not self._peers and not self._evicted and self._has_others:
            return ISOLATED_FRACTION
        return 1.0 - len(unresponsive) / (len(self._peers) + 1)

    def _is_unresponsive(self, peer: _Peer, now_ms: int) -> bool:
        if peer.incarnation == UNKNOWN:
            return True
        return (
            now_ms - peer.heard_ms
            >= HEARTBEAT_TIMEOUT_MS * self._compute_interval_scale()
        )

    def _compute_interval_scale(self) -> float:
        return max((len(self._peers) + 1) / HEARTBEAT_SCALING_VMS, 1.0)

    def _evict_peers(self, now_ms: int) -> None:
        evicted = [
            name
            for name, peer in self._peers.items()
            if now_ms - peer.heard_ms >= EVICTION_TIMEOUT_MS
        ]
        for name in evicted:
            self._evicted[name] = self._peers.pop(name)
        while len(self._evicted) > MAX_EVICTED_PEERS:
            self._evicted.popitem(last=False)

    def _find_bucket(
        self, account: str, now_ms: int
    ) -> usage_bucket.UsageBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = usage_bucket.UsageBucket(now_ms)
        return bucket

    @staticmethod
    def _spend(bucket: usage_bucket.UsageBucket, tokens: int) -> None:
        bucket.level -= tokens
        bucket.spent += tokens
