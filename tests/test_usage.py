"""Accounts' tokens over all VMs: counters, silence, kills, lost messages."""

import collections
import random
import unittest

from mulberryway import tables
from mulberryway.policy import usage

RATE = 10_000
BURST = 10_000
WINDOW_MS = 8_000
MARGIN = usage.Margin(WINDOW_MS, 0.1, 20_000)
ACCOUNT = tables.ClientAccount("a", (), RATE, BURST)
MOST = (RATE * WINDOW_MS // 1_000 + BURST) * 1.1 + 20_000


# What operators allow a small account on their sites, and how large the
# requests are there.
WIDE_MARGIN = usage.Margin(WINDOW_MS, 0.1, 120_000)
WIDE_ACCOUNT = tables.ClientAccount("a", (), 30_000, 30_000)
WIDE_MOST = 30_000 * 9 * 1.1 + 120_000

# A large account of a fleet of eighty VMs, and how late its counts come there.
LARGE_VMS = 80
LATE_MS = 40
LARGE_MARGIN = usage.Margin(WINDOW_MS, 0.1, 140_000)
LARGE_ACCOUNT = tables.ClientAccount("a", (), 94_000, 94_000)
LARGE_MOST = 94_000 * 9 * 1.1 + 140_000


def make_book(
    vm,
    now_ms=0,
    incarnation=1,
    has_others=False,
    margin=MARGIN,
    account=ACCOUNT,
):
    book = usage.ReplicatedRateLimiter(
        vm, incarnation, margin, now_ms, has_others
    )
    book.update_accounts([account], now_ms)
    return book


def tell(books, now_ms, drops=lambda sender, receiver: False):
    """Let each book tell all the others."""
    for sender, book in books.items():
        message = book.make_usage({}, now_ms)
        if message is None:
            continue
        for receiver, other in books.items():
            if receiver != sender and not drops(sender, receiver):
                other.merge_usage(message, now_ms)


class UsageBookTest(unittest.TestCase):
    def test_alone_fills_to_the_burst_and_no_further(self):
        book = make_book("a1")
        self.assertIsNone(book.take("a", 2_000, 10_000))
        given = 2_000
        while book.take("a", 500, 10_000) is None:
            given += 500
        self.assertGreaterEqual(given, BURST)
        self.assertLessEqual(
            given, BURST * 1.05 + 20_000 * usage.UPFRONT_MARGIN_FRACTION
        )

    def make_fleet(self, vms):
        """Return one VM's book whose bucket is full after ten seconds."""
        book, *others = [
            make_book(f"a{n}", margin=LARGE_MARGIN, account=LARGE_ACCOUNT)
            for n in range(vms)
        ]
        for now_ms in range(0, 10_001, 500):
            for other in others:
                message = other.make_usage({}, now_ms, has_other_changes=True)
                book.merge_usage(message, now_ms)
        book.make_usage({}, 10_000)
        return book

    def test_little_waits_for_the_heartbeat_of_a_large_fleet(self):
        """Guards against a message to eighty VMs for each plain call."""
        book = self.make_fleet(80)
        self.assertIsNone(book.take("a", 200, 10_050))
        self.assertIsNone(book.make_usage({}, 10_060))
        message = book.make_usage({}, 10_700)
        self.assertEqual(message.accounts[0].spent, 200)

    def test_much_is_told_at_once_in_a_large_fleet(self):
        book = self.make_fleet(80)
        self.assertIsNone(book.take("a", 3_000, 10_050))
        self.assertIsNotNone(book.make_usage({}, 10_060))

    def test_little_is_told_at_once_in_a_small_fleet(self):
        """Guards against parts of the margin that few VMs would use up."""
        book = self.make_fleet(6)
        self.assertIsNone(book.take("a", 200, 10_050))
        self.assertIsNotNone(book.make_usage({}, 10_060))

    def test_account_without_a_rate_has_no_limit(self):
        book = usage.ReplicatedRateLimiter("a1", 1, MARGIN, 0)
        book.update_accounts([tables.ClientAccount("b", (), 0, 0)], 0)
        self.assertIsNone(book.take("b", 10_000_000, 0))

    def test_refusal_tells_when_tokens_are_there(self):
        book = make_book("a1")
        while book.take("a", 500, 10_000) is None:
            continue
        wait_ms = book.take("a", 5_000, 10_000)
        self.assertIsNone(book.take("a", 5_000, 10_000 + wait_ms))

    def test_what_another_vm_gave_is_gone_here(self):
        books = {"a1": make_book("a1"), "a2": make_book("a2")}
        for now_ms in range(0, 10_100, 100):
            tell(books, now_ms)
        given = 0
        while books["a1"].take("a", 500, 10_000) is None:
            given += 500
        tell(books, 10_100)
        self.assertIsNotNone(books["a2"].take("a", 5_000, 10_100))

    def test_repeated_and_late_messages_count_once(self):
        """A datagram comes twice, and an older one after a newer one.  An
        account would be refused within its rate if each counted anew.
        """
        one, other = make_book("a1"), make_book("a2")
        tell({"a1": one, "a2": other}, 9_000)
        one.take("a", 3_000, 10_000)
        older = one.make_usage({}, 10_000)
        one.take("a", 1_000, 10_100)
        newer = one.make_usage({}, 10_100)
        left = other.describe("a", 10_100)["left"]
        for message in (newer, older, newer):
            other.merge_usage(message, 10_100)
        self.assertEqual(left - other.describe("a", 10_100)["left"], 4_000)

    def test_silent_vm_keeps_its_part(self):
        """A VM is cut off, and callers reach both sides.  Each side may give
        only its own part, or the account would have its rate twice.
        """
        books = {"a1": make_book("a1"), "a2": make_book("a2")}
        for now_ms in range(0, 10_000, 100):
            tell(books, now_ms)
        cut_ms = 10_000 + usage.HEARTBEAT_TIMEOUT_MS + 100
        given = 0
        for name in books:
            while books[name].take("a", 500, cut_ms) is None:
                given += 500
        self.assertLessEqual(given, BURST * 1.05 + 5_000 + 1_000)

    def test_vms_that_begin_together_give_what_the_margin_holds(self):
        """All VMs are killed at once and start empty.  What they gave right
        before still counts, so that together they may not give more than a
        part of the margin at once; and with nothing to give at all, callers
        would be refused within their rate.
        """
        names = [f"a{n}" for n in range(6)]
        given = 0
        for name in names:
            book = make_book(name, now_ms=50_000, has_others=True)
            book.update_members(names, 50_000)
            while book.take("a", 100, 50_000) is None:
                given += 100
        margin = MARGIN.read_tokens(ACCOUNT)
        self.assertLessEqual(given, margin * usage.INITIAL_MARGIN_FRACTION)
        self.assertGreater(given, 5_000)

    def test_large_fleet_that_begins_together(self):
        """Ninety VMs are killed at once.  In so large a fleet heartbeats are
        seldom, and VMs that have told nothing yet must not pass for heard:
        each would give all that is there for all.
        """
        names = [f"a{n}" for n in range(90)]
        given = 0
        for name in names:
            book = make_book(name, now_ms=50_000, has_others=True)
            book.update_members(names, 50_000)
            while book.take("a", 20, 50_000) is None:
                given += 20
        margin = MARGIN.read_tokens(ACCOUNT)
        self.assertLessEqual(given, margin * usage.INITIAL_MARGIN_FRACTION)

    def test_change_of_the_rate_keeps_the_parts(self):
        """Configurations come in quick succession while VMs are cut off.
        Each would let a VM give its part of what is left anew.
        """
        books = {"a1": make_book("a1"), "a2": make_book("a2")}
        for now_ms in range(0, 10_100, 100):
            tell(books, now_ms)
        cut_ms = 10_000 + usage.HEARTBEAT_TIMEOUT_MS + 100
        given = 0
        for _ in range(20):
            while books["a1"].take("a", 100, cut_ms) is None:
                given += 100
            books["a1"].update_accounts([ACCOUNT], cut_ms)
        self.assertLessEqual(given, BURST * 0.65)

    def test_vm_that_begins_cut_off_takes_a_part(self):
        """A VM is started while it reaches no other.  It cannot know what
        the others give, and must not give the whole rate.
        """
        book = make_book("a1", has_others=True)
        given = 0
        for now_ms in range(0, 10_000, 50):
            while book.take("a", 100, now_ms) is None:
                given += 100
        self.assertLess(given, RATE * 10 * 0.3)

    def test_vm_that_begins_beside_others_learns_what_is_left(self):
        """One VM is restarted while the others go on.  Beginning with almost
        nothing, it would refuse callers within their rate for a second.
        """
        old = make_book("a1")
        new = make_book("a2", now_ms=20_000)
        old.take("a", 100, 20_000)
        new.merge_usage(old.make_usage({}, 20_010), 20_010)
        self.assertIsNone(new.take("a", 5_000, 20_020))

    def test_vm_that_begins_takes_over_whole_counts_only(self):
        """Guards a new VM against knowing the levels of some accounts only."""
        old = make_book("a1")
        old.make_usage({}, usage.STARTUP_FULL_SYNC_MS)
        old.take("a", 100, 20_000)
        partial = old.make_usage({}, 20_010)
        self.assertFalse(partial.is_whole)
        new = make_book("a2", now_ms=20_000)
        new.merge_usage(partial, 20_010)
        self.assertIsNotNone(new.take("a", 9_000, 20_020))
        old.merge_usage(new.make_usage({}, 20_020), 20_020)
        whole = old.make_usage({}, 20_400)
        self.assertTrue(whole.is_whole)
        new.merge_usage(whole, 20_410)
        self.assertIsNone(new.take("a", 9_000, 20_420))

    def list_heartbeats(self, book, since_ms, count):
        """Return messages of a book that nobody takes from meanwhile."""
        return [
            book.make_usage({}, since_ms + number * usage.HEARTBEAT_MS)
            for number in range(count)
        ]

    def test_heartbeats_of_a_fleet_at_rest_are_short(self):
        """Guards against processor time for counts that have not changed."""
        book = make_book("a1")
        accounts = [
            tables.ClientAccount(f"a{n}", (), RATE, BURST) for n in range(16)
        ]
        book.update_accounts(accounts, 0)
        told = self.list_heartbeats(book, usage.STARTUP_FULL_SYNC_MS, 20)
        self.assertTrue(all(one.is_heartbeat for one in told))
        whole = [one for one in told if len(one.accounts) == 17]
        self.assertEqual(len(whole), 20 // usage.FULL_SYNC_INTERVAL)
        self.assertEqual(sum(len(one.accounts) for one in told), 17 * 4)

    def test_all_accounts_are_told_twice_while_a_vm_settles(self):
        """Guards a VM that begins against the past of VMs it knows not of."""
        fleet = {f"a{n}": make_book(f"a{n}") for n in range(LARGE_VMS)}
        for now_ms in range(0, 20_000, 100):
            tell(fleet, now_ms)
        new = make_book("new", now_ms=20_000)
        fleet["new"] = new
        whole = collections.Counter()
        for now_ms in range(20_000, 20_000 + usage.WARM_UP_MS, 100):
            for name, book in fleet.items():
                message = book.make_usage({}, now_ms)
                if message is None:
                    continue
                whole[name] += message.is_whole
                for other in fleet.values():
                    other.merge_usage(message, now_ms)
        self.assertGreaterEqual(min(whole[name] for name in fleet), 2)

    def test_tokens_that_came_back_are_told_once(self):
        """Guards against a message with each step while nothing is told."""
        book = make_book("a1")
        self.list_heartbeats(book, 0, 2)
        book.take("a", 100, 400)
        book.update_accounts([tables.ClientAccount("a", (), 0, 0)], 400)
        book.refund("a", 100, 400)
        book.make_usage({}, 410)
        self.assertIsNone(book.make_usage({}, 420))

    def test_a_count_that_was_lost_comes_with_the_next_heartbeats(self):
        """Guards against tokens given twice after a lost datagram."""
        book = make_book("a1")
        self.list_heartbeats(book, usage.STARTUP_FULL_SYNC_MS, 2)
        now_ms = usage.STARTUP_FULL_SYNC_MS + usage.HEARTBEAT_MS + 100
        book.take("a", 100, now_ms)
        lost = book.make_usage({}, now_ms)
        self.assertFalse(lost.is_heartbeat)
        told = self.list_heartbeats(book, now_ms + usage.HEARTBEAT_MS, 2)
        self.assertEqual(
            [[one.spent for one in each.accounts] for each in told],
            [[100], [100]],
        )

    def test_small_account_gets_what_its_margin_holds(self):
        """A small account asks for several times its rate on a calm day.
        Operators allow it much beyond the rate, and its callers were refused
        though a third of that was never given to anybody.
        """
        books = {
            f"a{n}": make_book(
                f"a{n}", margin=WIDE_MARGIN, account=WIDE_ACCOUNT
            )
            for n in range(6)
        }
        given = 0
        for now_ms in range(0, 16_000, 50):
            tell(books, now_ms)
            for book in books.values():
                if book.take("a", 5_000, now_ms) is None:
                    given += 5_000 * (now_ms >= 8_000)
        self.assertGreater(given, WIDE_MOST * 0.69)
        self.assertLessEqual(given, WIDE_MOST)

    def test_part_is_kept_only_while_it_holds(self):
        """VMs come, fall silent, are gone and come back.  A part that was
        kept too long would let both sides of a cut give the whole rate.
        """
        for seed in range(20):
            world = World(seed)
            for _ in range(300):
                world.run(steps=1)
                for book in world.books.values():
                    self.assertEqual(
                        book._read_part(world.now_ms),
                        book._count_part(world.now_ms),
                        f"seed {seed} at {world.now_ms}",
                    )

    def test_counts_of_many_accounts_do_not_count_the_fleet_each_time(self):
        """Ninety VMs tell of sixteen accounts, forty times a second.  When
        the VMs were counted anew for each account, that took a third of the
        processor time that a small VM has for its callers.
        """
        book = make_book("a0")
        for n in range(1, 90):
            tell({f"a{n}": make_book(f"a{n}"), "a0": book}, 0)
        counted = []
        count = book._count_part
        book._count_part = lambda now_ms: (
            counted.append(now_ms) or count(now_ms)
        )
        for now_ms in range(100, 900, 25):
            accounts = [usage.AccountUsage(f"c{n}", 1, 1) for n in range(16)]
            message = usage.Usage("a1", 1, now_ms, accounts, {}, now_ms)
            book.merge_usage(message, now_ms)
        self.assertLessEqual(len(counted), 2)

    def test_vms_that_are_silent_are_named(self):
        books = {"a1": make_book("a1"), "a2": make_book("a2")}
        tell(books, 0)
        self.assertEqual(books["a1"].list_unresponsive(500), frozenset())
        self.assertEqual(
            books["a1"].list_unresponsive(2_000), frozenset(["a2"])
        )


class World:
    """Books of several VMs under messages lost, cuts, freezes and kills."""

    def __init__(self, seed, vms=6, knows=True):
        self.random = random.Random(seed)
        self.knows = knows
        self.now_ms = 0
        self.incarnation_counts = collections.Counter()
        self.books = {f"a{n}": self.make_book(f"a{n}") for n in range(vms)}
        self.cut = set()
        self.down = {}
        self.given = []

    def run(self, steps=700):
        for _ in range(steps):
            self.now_ms += self.random.choice((10, 20, 40))
            self.change_faults()
            self.submit_request()
            if self.knows:
                live = {
                    name: book
                    for name, book in self.books.items()
                    if name not in self.down
                }
                tell(live, self.now_ms, self.drops)
        return self.find_most()

    def change_faults(self):
        for name, until_ms in list(self.down.items()):
            if until_ms <= self.now_ms:
                del self.down[name]
                self.incarnation_counts[name] += 1
                self.books[name] = self.make_book(name)
                if self.knows:
                    self.books[name].update_members(self.books, self.now_ms)
        dice = self.random.random()
        if dice < 0.004:
            self.cut ^= {self.random.choice(list(self.books))}
        elif dice < 0.006:
            self.down[self.random.choice(list(self.books))] = (
                self.now_ms + 1_500
            )
        elif dice < 0.007:
            self.down.update(dict.fromkeys(self.books, self.now_ms + 1_000))

    def make_book(self, name):
        return make_book(
            name, self.now_ms, 1 + self.incarnation_counts[name], self.knows
        )

    def submit_request(self):
        # The account asks all VMs at once for several times its rate.
        for name, book in self.books.items():
            if name in self.down:
                continue
            tokens = self.random.randint(200, 900)
            if book.take("a", tokens, self.now_ms) is None:
                self.given.append((self.now_ms, tokens))

    def drops(self, sender, receiver):
        is_cut = (sender in self.cut) != (receiver in self.cut)
        return is_cut or self.random.random() < 0.02

    def find_most(self):
        """Return the most that was given in any window."""
        most = total = 0
        window = collections.deque()
        for at_ms, tokens in self.given:
            window.append((at_ms, tokens))
            total += tokens
            while window[0][0] <= at_ms - WINDOW_MS:
                total -= window.popleft()[1]
            most = max(most, total)
        return most


class WideWorld(World):
    """The same with a small account of the sites, and their requests."""

    def make_book(self, name):
        return make_book(
            name,
            self.now_ms,
            1 + self.incarnation_counts[name],
            self.knows,
            WIDE_MARGIN,
            WIDE_ACCOUNT,
        )

    def submit_request(self):
        # Requests of 10,000 tokens, fourteen times the account's rate.
        for name, book in self.books.items():
            if name in self.down or self.random.random() > 0.175:
                continue
            tokens = self.random.randint(3_000, 18_000)
            if book.take("a", tokens, self.now_ms) is None:
                self.given.append((self.now_ms, tokens))


class LargeWorld(World):
    """A fleet of 80 VMs whose messages go by way of relays, and are late."""

    def __init__(self, seed):
        self.late = collections.deque()
        super().__init__(seed, LARGE_VMS)

    def make_book(self, name):
        return make_book(
            name,
            self.now_ms,
            1 + self.incarnation_counts[name],
            self.knows,
            LARGE_MARGIN,
            LARGE_ACCOUNT,
        )

    def submit_request(self):
        # Some four times the account's rate, each request at a random VM.
        for name in self.random.choices(list(self.books), k=2):
            if name in self.down:
                continue
            tokens = self.random.randint(2_000, 6_000)
            if self.books[name].take("a", tokens, self.now_ms) is None:
                self.given.append((self.now_ms, tokens))

    def run(self, steps=700):
        for _ in range(steps):
            self.now_ms += self.random.choice((10, 20, 40))
            self.change_faults()
            self.submit_request()
            self.exchange()
        return self.find_most()

    def exchange(self):
        for sender, book in self.books.items():
            message = None
            if sender not in self.down:
                message = book.make_usage({}, self.now_ms)
            if message is not None:
                at_ms = self.now_ms + self.random.randint(1, LATE_MS)
                self.late.append((at_ms, sender, message))
        while self.late and self.late[0][0] <= self.now_ms:
            _, sender, message = self.late.popleft()
            for receiver, book in self.books.items():
                if (
                    receiver != sender
                    and receiver not in self.down
                    and not self.drops(sender, receiver)
                ):
                    book.merge_usage(message, self.now_ms)


class PlainWorld(LargeWorld):
    """The same fleet with small requests, which may be told of later."""

    def submit_request(self):
        # Some four times the account's rate.
        for name in self.random.choices(list(self.books), k=40):
            if name in self.down:
                continue
            tokens = self.random.randint(100, 300)
            if self.books[name].take("a", tokens, self.now_ms) is None:
                self.given.append((self.now_ms, tokens))


class UsageHistoryTest(unittest.TestCase):
    def test_small_requests_of_eighty_vms_keep_to_the_margin(self):
        """Guards against counts held back on all VMs that add up to more
        than the margin.
        """
        for seed in range(3):
            self.assertLessEqual(
                PlainWorld(seed).run(), LARGE_MOST, f"seed {seed}"
            )

    def test_eighty_vms_with_late_messages_keep_to_the_margin(self):
        """Guards against an account that gets too much in a large fleet,
        where counts come later and seldomer.
        """
        for seed in range(3):
            self.assertLessEqual(
                LargeWorld(seed).run(), LARGE_MOST, f"seed {seed}"
            )

    def test_small_account_with_a_wide_margin_keeps_to_it(self):
        """The same faults befall an account whose margin is large beside
        its rate.  What VMs give of the margin in advance is missing where
        they are cut off or killed, and must not add up to more than it.
        """
        for seed in range(200):
            self.assertLessEqual(
                WideWorld(seed).run(), WIDE_MOST, f"seed {seed}"
            )

    def test_no_window_exceeds_what_is_allowed(self):
        """An account asks all VMs for several times its rate, while VMs are
        cut off, killed one by one and all at once, and messages are lost.
        In no window may it get more than operators allow.
        """
        for seed in range(300):
            self.assertLessEqual(World(seed).run(), MOST, f"seed {seed}")

    def test_checker_finds_vms_that_do_not_listen(self):
        found = World(1, knows=False).run()
        self.assertGreater(found, MOST)
