"""The demo: three entry VMs, callers, a table edit and a revoked key."""

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
REVOKED = KEYS["tea-estate"][1]
CALLERS = 12
DURATION_S = 15.0
EDIT_AFTER_S = 4.0
REVOKE_AFTER_S = 8.0
MAX_TOKENS = 40
FAILED = 1


class ResponseCounts:
    """Counts of the responses to one type of call.

    :param whole: complete and correct responses
    :param wrong: responses with unexpected content
    :param refused: error responses by code
    """

    __slots__ = ("whole", "wrong", "refused")

    def __init__(self) -> None:
        self.whole = 0
        self.wrong = 0
        self.refused: collections.Counter[str] = collections.Counter()


class Demo:
    """Runs callers and an operator against one deployment.

    :param running: the deployment
    """

    def __init__(self, running: deployment.Deployment) -> None:
        self._running = running
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.seen: dict[tuple[str, str], ResponseCounts] = (
            collections.defaultdict(ResponseCounts)
        )
        self.after_revocation: collections.Counter[str] = collections.Counter()

    def run(self) -> list[str]:
        """Send calls while an operator edits a route and revokes a key.

        :returns: the operator's observations as lines of text
        """
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as callers:
            tasks = [
                callers.submit(self._run_caller, number)
                for number in range(CALLERS)
            ]
            try:
                observations = self._run_operator()
            finally:
                self._stopping.set()
            for task in tasks:
                task.result()
        return observations

    def check(self) -> list[str]:
        """Return the violated invariants as lines of text."""
        with self._lock:
            violations = [
                f"{account}, {kind}: {seen.wrong} wrong responses"
                for (account, kind), seen in self.seen.items()
                if seen.wrong
            ]
            if not all(
                seen.whole
                for (account, _), seen in self.seen.items()
                if account != "withdrawn key"
            ):
                violations.append("a type of call got no correct response")
            if set(self.after_revocation) - {"unauthenticated"}:
                violations.append(
                    f"withdrawn key: {dict(self.after_revocation)}"
                )
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
            violations.append(
                f"upstreams received callers' keys {leaked} times"
            )
        return violations

    def _run_operator(self) -> list[str]:
        began = time.monotonic()
        time.sleep(EDIT_AFTER_S)
        route = {"path_prefix": "/status", "pool": "member-api"}
        file = self._running.write("route.toml", route)
        self._running.run_admin_command("put", "routes.status", file)
        edited_at = time.monotonic()
        self._running.run_admin_command("wait")
        observations = [
            "a new route was in force on all VMs after "
            f"{time.monotonic() - edited_at:.2f} s, including the command"
        ]
        time.sleep(max(REVOKE_AFTER_S - (time.monotonic() - began), 0))
        digest = deployment.tables.digest_key(REVOKED)
        self._running.run_admin_command(
            "withdraw-key", "tea-estate", digest[:12]
        )
        revoked_at = time.monotonic()
        self._running.run_admin_command("wait")
        observations.append(
            "a revoked key was rejected everywhere after "
            f"{time.monotonic() - revoked_at:.2f} s, including the command"
        )
        for port in self._running.router_ports:
            code = self._call_with_revoked(port)
            with self._lock:
                self.after_revocation[code] += 1
        time.sleep(max(DURATION_S - (time.monotonic() - began), 0))
        return observations

    def _call_with_revoked(self, port: int) -> str:
        reply = processes.call(
            port, "GET", "/member/1", headers=_authorize(REVOKED)
        )
        if reply.status == 200:
            return "answered"
        return str(reply.json()["error"]["code"])

    def _run_caller(self, number: int) -> None:
        accounts = [*KEYS, "withdrawn key"]
        account = accounts[number % len(accounts)]
        key = KEYS[account][0] if account in KEYS else REVOKED
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
        """Return the port of an entry VM, resolved as callers do.

        :param counter: selects the VM to query and the address to use
        :returns: the port
        """
        ports = self._running.router_ports
        queried_port = ports[counter % len(ports)]
        response = processes.call(queried_port, "GET", "/v1/entry").json()
        addresses = response["addresses"]
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
        is_correct = False
        if reply.status == 200:
            is_correct = (
                _join(reply.body)
                == answers.Answer(deployment.MODEL, prompt, MAX_TOKENS).text()
            )
        self._record(account, "stream", reply, is_correct)

    def _read_status(
        self, port: int, account: str, key: str, name: str
    ) -> None:
        reply = processes.call(
            port, "GET", f"/member/{name}?full=1", headers=_authorize(key)
        )
        is_correct = reply.status == 200 and (
            reply.json()["target"] == f"/member/{name}?full=1"
        )
        self._record(account, "plain call", reply, is_correct)

    def _book(self, port: int, account: str, key: str, name: str) -> None:
        now_ms = clock.SystemClock().wall_ms()
        idempotency_key = claim_records.make_uuid7(
            now_ms, secrets.randbits(74)
        )
        headers = {**_authorize(key), "Idempotency-Key": idempotency_key}
        first, retry = (
            processes.call(port, "POST", "/bookings", {"pen": name}, headers)
            for _ in range(2)
        )
        is_correct = first.status == retry.status and first.body == retry.body
        self._record(account, "booking, sent twice", first, is_correct)

    def _record(
        self, account: str, kind: str, reply: processes.Reply, is_correct: bool
    ) -> None:
        with self._lock:
            seen = self.seen[account, kind]
            if reply.is_cut:
                seen.refused[_read_error_code(reply.body)] += 1
            elif reply.status >= 400:
                seen.refused[reply.json()["error"]["code"]] += 1
            elif is_correct:
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


def _read_error_code(body: bytes) -> str:
    """Return the error code in the last event of a truncated stream."""
    last = body.rstrip().rpartition(b"data: ")[2]
    return f"truncated by {json.loads(last)['error']['code']}"


def main() -> int:
    """Run the demo and print the responses of each account.

    :returns: the exit status; 0 if no checked invariant was violated
    """
    with deployment.Deployment(accounts=KEYS) as running:
        demo = Demo(running)
        observations = demo.run()
        violations = demo.check()
    print(f"{'account':15} {'call':20} {'whole':>6} {'wrong':>6}  refused")
    for (account, kind), seen in sorted(demo.seen.items()):
        refused = ", ".join(f"{n} {code}" for code, n in seen.refused.items())
        print(
            f"{account:15} {kind:20} {seen.whole:6} {seen.wrong:6}  {refused}"
        )
    print(*observations, sep="\n")
    print(*(f"WRONG: {violation}" for violation in violations), sep="\n")
    return FAILED if violations else 0


if __name__ == "__main__":
    sys.exit(main())
