"""The demo: three entry VMs, callers, an edit and a withdrawn key."""

import collections
import concurrent.futures
import json
import secrets
import sys
import threading
import time

from benchmarks import deployment
from mulberryway import clock
from mulberryway.policy import claim_records
from standins import answers
from tests import processes

__all__ = ["main"]

KEYS = {
    "tea-estate": ("key-of-the-tea-estate", "second-key-of-the-tea-estate"),
    "surveyors": ("key-of-the-surveyors",),
    "planters": ("key-of-the-planters",),
}
WITHDRAWN = KEYS["tea-estate"][1]
CALLERS = 12
LAST_S = 15.0
EDIT_AFTER_S = 4.0
WITHDRAW_AFTER_S = 8.0
MAX_TOKENS = 40
FAILED = 1


class ResponseCounts:
    """What one sort of call got.

    :param whole: answers that were complete and right
    :param wrong: answers with a byte that should not be there
    :param refused: refusals, by code
    """

    __slots__ = ("whole", "wrong", "refused")

    def __init__(self) -> None:
        self.whole = 0
        self.wrong = 0
        self.refused: collections.Counter[str] = collections.Counter()


class Demo:
    """Callers of all sorts against one deployment.

    :param running: the deployment
    """

    def __init__(self, running: deployment.Deployment) -> None:
        self._running = running
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.seen: dict[tuple[str, str], ResponseCounts] = (
            collections.defaultdict(ResponseCounts)
        )
        self.after_withdrawal: collections.Counter[str] = collections.Counter()

    def run(self) -> list[str]:
        """Send calls while an operator edits and withdraws a key.

        :returns: what the operator saw
        """
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            calling = [
                callers.submit(self._call_on, number)
                for number in range(CALLERS)
            ]
            try:
                notes = self._operate()
            finally:
                self._stopping.set()
            for one in calling:
                one.result()
        return notes

    def check(self) -> list[str]:
        """Return what went against the promises."""
        with self._lock:
            wrong = [
                f"{account}, {kind}: {seen.wrong} wrong answers"
                for (account, kind), seen in self.seen.items()
                if seen.wrong
            ]
            if not all(
                seen.whole
                for (account, _), seen in self.seen.items()
                if account != "withdrawn key"
            ):
                wrong.append("a sort of call got no answer at all")
            if set(self.after_withdrawal) - {"unauthenticated"}:
                wrong.append(f"withdrawn key: {dict(self.after_withdrawal)}")
        ports = self._running.engine_ports + self._running.service_ports
        leaked = sum(
            processes.call(port, "GET", f"/standin/seen?needle={key}").json()[
                "count"
            ]
            for port in ports
            for keys in KEYS.values()
            for key in keys
        )
        if leaked:
            wrong.append(f"upstreams saw callers' keys {leaked} times")
        return wrong

    def _operate(self) -> list[str]:
        began = time.monotonic()
        time.sleep(EDIT_AFTER_S)
        route = {"path_prefix": "/status", "pool": "member-api"}
        file = self._running.write("route.toml", route)
        self._running.run_admin_command("put", "routes.status", file)
        edited = time.monotonic()
        self._running.run_admin_command("wait")
        notes = [
            "a new route was in force on all VMs after "
            f"{time.monotonic() - edited:.2f} s, the command included"
        ]
        time.sleep(max(WITHDRAW_AFTER_S - (time.monotonic() - began), 0))
        digest = deployment.tables.digest_key(WITHDRAWN)
        self._running.run_admin_command(
            "withdraw-key", "tea-estate", digest[:12]
        )
        withdrawn = time.monotonic()
        self._running.run_admin_command("wait")
        notes.append(
            "a withdrawn key was refused everywhere after "
            f"{time.monotonic() - withdrawn:.2f} s, the command included"
        )
        for port in self._running.router_ports:
            code = self._call_with_withdrawn(port)
            with self._lock:
                self.after_withdrawal[code] += 1
        time.sleep(max(LAST_S - (time.monotonic() - began), 0))
        return notes

    def _call_with_withdrawn(self, port: int) -> str:
        reply = processes.call(
            port, "GET", "/member/1", headers=_authorize(WITHDRAWN)
        )
        if reply.status == 200:
            return "answered"
        return str(reply.json()["error"]["code"])

    def _call_on(self, number: int) -> None:
        accounts = [*KEYS, "withdrawn key"]
        account = accounts[number % len(accounts)]
        key = KEYS[account][0] if account in KEYS else WITHDRAWN
        kinds = ("stream", "plain", "booking")
        counter = 0
        while not self._stopping.is_set():
            port = self._pick_entry(counter)
            kind = kinds[counter % len(kinds)]
            call = {
                "stream": self._stream,
                "plain": self._read_status,
                "booking": self._book,
            }[kind]
            call(port, account, key, f"{number}-{counter}")
            counter += 1

    def _pick_entry(self, counter: int) -> int:
        """Ask for an address, as callers do; each asks another VM first."""
        ports = self._running.router_ports
        asked = ports[counter % len(ports)]
        found = processes.call(asked, "GET", "/v1/entry").json()
        addresses = found["addresses"]
        address = addresses[counter % len(addresses)]["address"]
        return int(address.rpartition(":")[2])

    def _stream(self, port: int, account: str, key: str, name: str) -> None:
        prompt = f"why did the fix of {name} drift? " * 20
        body = {
            "model": deployment.MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
        reply = processes.call(
            port,
            "POST",
            "/v1/completions",
            body,
            _authorize(key),
            timeout_s=30,
        )
        right = False
        if reply.status == 200:
            right = (
                _join(reply.body)
                == answers.Answer(deployment.MODEL, prompt, MAX_TOKENS).text()
            )
        self._note(account, "stream", reply, right)

    def _read_status(
        self, port: int, account: str, key: str, name: str
    ) -> None:
        reply = processes.call(
            port, "GET", f"/member/{name}?full=1", headers=_authorize(key)
        )
        right = reply.status == 200 and (
            reply.json()["target"] == f"/member/{name}?full=1"
        )
        self._note(account, "plain call", reply, right)

    def _book(self, port: int, account: str, key: str, name: str) -> None:
        now_ms = clock.SystemClock().wall_ms()
        once = claim_records.make_uuid7(now_ms, secrets.randbits(74))
        headers = {**_authorize(key), "Idempotency-Key": once}
        first, repeat = (
            processes.call(port, "POST", "/bookings", {"pen": name}, headers)
            for _ in range(2)
        )
        right = first.status == repeat.status and first.body == repeat.body
        self._note(account, "booking, sent twice", first, right)

    def _note(
        self, account: str, kind: str, reply: processes.Reply, right: bool
    ) -> None:
        with self._lock:
            seen = self.seen[account, kind]
            if reply.is_cut:
                seen.refused[_read_cut(reply.body)] += 1
            elif reply.status >= 400:
                seen.refused[reply.json()["error"]["code"]] += 1
            elif right:
                seen.whole += 1
            else:
                seen.wrong += 1


def _authorize(key: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
    }


def _join(body: bytes) -> str:
    events = [
        line.removeprefix(b"data: ")
        for line in body.split(b"\n\n")
        if line.startswith(b"data: {")
    ]
    return "".join(
        choice["text"]
        for event in events
        for choice in json.loads(event).get("choices", ())
    )


def _read_cut(body: bytes) -> str:
    """Return the code in the event that ends a cut stream."""
    last = body.rstrip().rpartition(b"data: ")[2]
    return f"cut by {json.loads(last)['error']['code']}"


def main() -> int:
    """Run the demo and print what each caller got.

    :returns: the exit status; 0 if every promise that it looks at held
    """
    with deployment.Deployment(accounts=KEYS) as running:
        demo = Demo(running)
        notes = demo.run()
        wrong = demo.check()
    print(f"{'account':15} {'call':20} {'whole':>6} {'wrong':>6}  refused")
    for (account, kind), seen in sorted(demo.seen.items()):
        refused = ", ".join(f"{n} {code}" for code, n in seen.refused.items())
        print(
            f"{account:15} {kind:20} {seen.whole:6} {seen.wrong:6}  {refused}"
        )
    print(*notes, sep="\n")
    print(*(f"WRONG: {one}" for one in wrong), sep="\n")
    return FAILED if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
