"""Fleets whose engines end because of a part of a prompt, and their load."""

import concurrent.futures
import itertools
import json
import pathlib
import random
import threading
import time
import unittest

from tests import hosted_fleet
from tests import processes

PHASES = ("prefill", "prefill", *("decode",) * 6)
# An engine is back after this time, at its address and under another name.
RESTART_S = 2.0
# The entry of an engine that has ended expires after this time.
ENTRY_EXPIRY_S = 2.5
POLL_S = 0.02
EVENTS = 20
EVENT_MS = 60
CRASH_MS = 100
SENDERS = 96
# VMs know of a crash after this time.
CONTACT_MS = 3_000
COUNTED_CRASHES = 5
MAX_LATE_REQUESTS = 3
# The rule's floor is half; the aim is that sound streams notice nothing.
MIN_BEGUN_FRACTION = 0.9
MIN_SOUND = 20
FIRST_PART = "aa"
MIDDLE_PARTS = tuple(f"b{number}" for number in range(7))
BAD_PART = "c0"
OTHER_BAD_PART = "c1"
PATH = "/talk/"
SOUND_S = 1 / 12
BAD_S = 0.3
WARM_UP_S = 2.5


def now_ms():
    """Return the monotonic time in ms, which engines use as well."""
    return time.monotonic_ns() // 1_000_000


class Load:
    """Requests that are sent at a fixed rate, whatever their answers.

    :param interval_s: time between two requests in seconds
    :param parts: returns the parts of a request by its number
    :param key: returns the API key of a request by its number
    :param copies: requests that are sent at the same moment
    """

    def __init__(
        self, interval_s, parts, key=lambda number: "k-large", copies=1
    ):
        self.interval_s = interval_s
        self.parts = parts
        self.key = key
        self.copies = copies


class Sent:
    """One request and its answer.

    :param parts: the parts of its prompt without its own one
    """

    def __init__(self, parts):
        self.parts = parts
        self.at_ms = now_ms()
        self.status = 0
        self.events = 0
        self.is_cut = False
        self.retry_after_s = None

    def has_begun(self):
        return self.status == 200 and self.events > 0


class CrashFleet(hosted_fleet.Fleet):
    """A fleet whose engines crash on parts of prompts and are restarted.

    :param crash_parts: the parts that end an engine
    :param event_ms: time between the events of an answer
    :param is_unframed: whether answers have neither a length nor chunks
    """

    def __init__(
        self,
        crash_parts,
        event_ms=EVENT_MS,
        vms=3,
        is_unframed=False,
        **options,
    ):
        super().__init__(vms=vms, phases=PHASES, **options)
        self.flags = [
            f"--crash_parts={','.join(crash_parts)}",
            f"--crash_ms={CRASH_MS}",
            f"--event_ms={event_ms}",
            f"--unframed={is_unframed}",
        ]
        self.arrivals = pathlib.Path(self.folder.name) / "arrivals.jsonl"
        self.lives = itertools.count()
        self.stopping = threading.Event()
        self.keeper = threading.Thread(target=self._restart_ended_engines)

    def __enter__(self):
        super().__enter__()
        self.keeper.start()
        return self

    def __exit__(self, *reason):
        self.stopping.set()
        if self.keeper.is_alive():
            self.keeper.join()
        super().__exit__(*reason)

    def start_upstream(self, name, service, phase="", port=None):
        if not phase:
            super().start_upstream(name, service)
            return
        port = port or processes.pick_ports(1)[0]
        process = self.group.start(
            "standins.hosted_upstreams",
            f"--port={port}",
            f"--instance={name}",
            f"--phase={phase}",
            f"--arrivals={self.arrivals}",
            *self.flags,
            ports=[port],
        )
        self.upstreams[name] = (process, port, service, phase)
        self.register(name)

    def _restart_ended_engines(self):
        """Start engines that have ended again until the fleet stops."""
        pool = concurrent.futures.ThreadPoolExecutor(32)
        known = set()
        while not self.stopping.wait(POLL_S):
            for name, entry in list(self.upstreams.items()):
                if name not in known and entry[0].popen.poll() is not None:
                    known.add(name)
                    pool.submit(self._restart_engine, name)
        pool.shutdown(cancel_futures=True)

    def _restart_engine(self, name):
        _, port, service, phase = self.upstreams[name]
        time.sleep(RESTART_S)
        if self.stopping.is_set():
            return
        new_name = f"{name.partition('-')[0]}-{next(self.lives)}"
        self.start_upstream(new_name, service, phase, port)
        time.sleep(ENTRY_EXPIRY_S - RESTART_S)
        self.drop("servers", name)

    def list_engines(self, phase="decode"):
        """Return the names of the engines that run."""
        return [
            name
            for name, (process, _, _, engine_phase) in self.upstreams.items()
            if engine_phase == phase and process.popen.poll() is None
        ]

    def read_arrivals(self):
        """Return what engines have written, in the order of time."""
        lines = self.arrivals.read_text(encoding="utf-8").splitlines()
        return sorted(map(json.loads, lines), key=lambda line: line["at_ms"])


class CrashingPartTest(unittest.TestCase):
    """Base class of tests that send sound requests and crashing ones."""

    length_s = 16.0

    def setUp(self):
        self.numbers = itertools.count()
        self.rng = random.Random(self.id())
        self.sent = []
        self.lock = threading.Lock()

    def start(self, crash_parts=(BAD_PART,), **options):
        self.fleet = CrashFleet(crash_parts, **options)
        self.enterContext(self.fleet)

    def make_sound_parts(self, number):
        return (FIRST_PART, self.rng.choice(MIDDLE_PARTS))

    def make_bad_parts(self, number, part=BAD_PART):
        return (*self.make_sound_parts(number), part)

    def make_loads(self, bad_s=BAD_S, sound_s=SOUND_S):
        return (
            Load(sound_s, self.make_sound_parts),
            Load(bad_s, self.make_bad_parts),
        )

    def warm_up(self):
        """Send sound requests alone, which shows that their parts are."""
        length_s, self.length_s = self.length_s, WARM_UP_S
        self.play(Load(SOUND_S, self.make_sound_parts))
        self.length_s = length_s

    def play(self, *loads, actions=()):
        """Send all loads, and run actions at times; wait for all answers.

        :param actions: pairs of a time in seconds and a callable
        """
        began = time.monotonic()
        steps = [
            (number * load.interval_s, self._make_call(load, number))
            for load in loads
            for number in range(int(self.length_s / load.interval_s))
            for _ in range(load.copies)
        ]
        steps += [(at_s, action) for at_s, action in actions]
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            futures = []
            for at_s, call in sorted(steps, key=lambda step: step[0]):
                time.sleep(max(began + at_s - time.monotonic(), 0))
                futures.append(pool.submit(call))
            for future in futures:
                future.result()

    def _make_call(self, load, number):
        parts, key = load.parts(number), load.key(number)
        return lambda: self.send(parts, key)

    def send(self, parts, key):
        """Send one request with a path, body and last part of its own."""
        number = next(self.numbers)
        sent = Sent(parts)
        with self.lock:
            self.sent.append(sent)
        own = f"{number:06x}"
        prefix = ",".join(f"{part}:20" for part in (*parts, f"ee{own}"))
        try:
            reply = self.fleet.send(
                number % len(self.fleet.vms),
                f"{PATH}{own}",
                f"a-{own}",
                key=key,
                body=own.encode(),
                headers=hosted_fleet.STREAM | {"Prompt-Prefix": prefix},
            )
        except OSError:
            return
        sent.status, sent.is_cut = reply.status, reply.is_cut
        sent.events = len(hosted_fleet.list_ids(reply.body))
        sent.retry_after_s = reply.headers.get("Retry-After")

    def list_crashes(self, part):
        """Return the times of the crashes caused by a part, in ms."""
        return [
            line["at_ms"]
            for line in self.fleet.read_arrivals()
            if part in line["crashes"]
        ]

    def count_late(self, part):
        """Return how many requests with a part engines got too late."""
        crashes = self.list_crashes(part)
        if len(crashes) < COUNTED_CRASHES:
            return 0
        limit_ms = crashes[COUNTED_CRASHES - 1] + CONTACT_MS
        return len(
            {
                line["attempt"]
                for line in self.fleet.read_arrivals()
                if part in line["parts"] and line["at_ms"] > limit_ms
            }
        )

    def find_quiet_ms(self, parts):
        """Return from when on sound requests must begin again.

        The rule counts from the fifth crash, or the last of fewer; this counts
        from the second one, which is earlier.
        """
        return max(
            crashes[:2][-1]
            for crashes in map(self.list_crashes, parts)
            if crashes
        ) + (2 * CONTACT_MS)

    def list_sound(self, bad_parts):
        """Return the sound requests from when on they must begin."""
        quiet_ms = self.find_quiet_ms(bad_parts)
        return [
            sent
            for sent in self.sent
            if sent.at_ms >= quiet_ms and not set(bad_parts) & set(sent.parts)
        ]

    def check(self, *bad_parts):
        """Check both rules: crashes stop, and sound requests are served."""
        sound = self.list_sound(bad_parts)
        begun = sum(sent.has_begun() for sent in sound)
        late = {part: self.count_late(part) for part in bad_parts}
        crashes = {part: len(self.list_crashes(part)) for part in bad_parts}
        report = (
            f"engines ended {crashes}, late {late}, "
            f"sound {begun} of {len(sound)}"
        )
        print(f"{self.id()}: {report}")
        looks_complete = [
            sent
            for sent in self.sent
            if sent.has_begun() and not sent.is_cut and sent.events < EVENTS
        ]
        report += f"\n{self.fleet.read_logs()}"
        self.assertEqual(len(looks_complete), 0, report)
        self.assertTrue(all(crashes.values()), report)
        self.assertLessEqual(max(late.values()), MAX_LATE_REQUESTS, report)
        self.assertGreaterEqual(len(sound), MIN_SOUND, report)
        self.assertGreaterEqual(begun, MIN_BEGUN_FRACTION * len(sound), report)
