"""Sends requests while one server spoils some heads; see claim.txt."""

import concurrent.futures
import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))

import fleet  # noqa: E402

TIMEOUT_MS = 800
DEADLINE_MS = 1500
LATE_S = 0.5
# The rule speaks of "more than a few" requests.
FEW = 3
TRAFFIC_S = 30.0
INTERVAL_S = 0.1
# The share x of garble is 0.02.
SPOIL_EVERY = 50


def main(trouble):
    with fleet.Fleet(CASE, machines=2) as run:
        for name in ("i-a", "i-b", "i-c"):
            is_spoiling = trouble and name == "i-c"
            run.start_server(
                name,
                "app",
                fleet.COMMON / "service.py",
                60,
                *([f"spoil={SPOIL_EVERY}"] if is_spoiling else []),
            )
        times = {"timeout_ms": TIMEOUT_MS, "target_latency_ms": 300}
        run.configure(
            [
                fleet.make_route(
                    "r-view", "/view/", "app", "idempotent", 2, **times
                ),
                fleet.make_route(
                    "r-book", "/book/", "app", "non_idempotent", 1, **times
                ),
            ],
            [{"name": "app", "health_path": "/health", "max_conns": 110}],
        )
        run.start_vms()
        results = {}
        lock = threading.Lock()

        def send(attempt, machine, is_booking):
            """Send one request as a client that waits for its deadline."""
            connection = run.connect(machine, DEADLINE_MS / 1000)
            sent_s = time.time()
            status = 0
            try:
                connection.request(
                    "POST" if is_booking else "GET",
                    "/book/2f" if is_booking else "/view/2f",
                    b"{}" if is_booking else None,
                    fleet.make_headers(attempt, DEADLINE_MS),
                )
                reply = connection.getresponse()
                reply.read()
                status = reply.status
            except (OSError, fleet.http.client.HTTPException) as error:
                run.note(f"client {attempt} got no answer: {error!r}")
            finally:
                connection.close()
            end_s = time.time()
            with lock:
                results[attempt] = (machine, sent_s, end_s, status)
            run.note(
                f"client sent {attempt} to machine {machine + 1}, "
                f"status {status} after {end_s - sent_s:.3f} s"
            )

        with concurrent.futures.ThreadPoolExecutor(64) as clients:
            end = time.monotonic() + TRAFFIC_S
            number = 0
            while time.monotonic() < end:
                attempt = f"{'b' if number % 3 else 'v'}{number:04d}"
                clients.submit(send, attempt, number % 2, bool(number % 3))
                number += 1
                time.sleep(INTERVAL_S)
        time.sleep(25 if trouble else 2)
        return judge(run, results)


def judge(run, results):
    """Return whether a rule was broken."""
    arrivals = {}
    for name in run.servers:
        for line in run.read_server(name):
            run.note(f"server {line}")
            if line["ran"]:
                arrivals.setdefault(line["attempt"], []).append(line)
    unanswered = [
        attempt
        for attempt, (_, sent_s, end_s, status) in results.items()
        if not status or end_s - sent_s > TIMEOUT_MS / 1000
    ]
    overdue = [
        attempt
        for attempt in unanswered
        if not results[attempt][3]
        or results[attempt][2] - results[attempt][1]
        > TIMEOUT_MS / 1000 + LATE_S
    ]
    gone = [
        line
        for attempt, lines in arrivals.items()
        for line in lines
        if not results[attempt][3]
        and line["at"] > results[attempt][2] + LATE_S
    ]
    for line in gone:
        run.note(
            f"GONE {line['attempt']} ran at {line['instance']} "
            f"{line['at'] - results[line['attempt']][2]:.1f} s after its "
            "client had closed its connection"
        )
    run.note(
        f"CONFIG: {len(unanswered)} requests were unanswered at the timeout "
        f"of their route, {len(overdue)} of them half a second later"
    )
    run.note(f"GONE: {len(gone)} requests ran after their clients had left")
    is_config_broken = (
        len(overdue) * 2 > len(unanswered) and len(overdue) > FEW
    )
    return is_config_broken or len(gone) > FEW


if __name__ == "__main__":
    fleet.run_case(main)
