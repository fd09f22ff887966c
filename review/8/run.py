"""Books at a service of which one server fails; see claim.txt."""

import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))

import fleet  # noqa: E402

BOOKINGS = 60
RETRIES = 1
PROMISES = (408, 421, 429, 503)


def main(trouble):
    with fleet.Fleet(CASE, machines=2) as run:
        for name in ("i-a", "i-b", "i-c"):
            options = ["fail=503"] if trouble and name == "i-c" else []
            run.start_server(
                name, "app", fleet.COMMON / "service.py", 60, *options
            )
        run.configure(
            [fleet.make_route("r-book", "/book/", "app", "non_idempotent", 1)],
            [{"name": "app", "health_path": "/health", "max_conns": 110}],
        )
        run.start_vms()
        answers = {}
        for number in range(BOOKINGS):
            # A client repeats a booking only after a promise that it has not
            # run and never will, with an attempt id of its own.
            for retry in range(RETRIES + 1):
                attempt = f"b{number:03d}-{retry}"
                headers = fleet.make_headers(attempt)
                connection = run.connect((number + retry) % 2)
                body = f"booking {number}".encode()
                connection.request("POST", "/book/2f", body, headers)
                reply = connection.getresponse()
                reply.read()
                connection.close()
                answers[attempt] = reply.status
                seal = reply.getheader("Server-Seal")
                run.note(
                    f"client sent {attempt} '{body.decode()}' "
                    f"got {reply.status} seal {seal}"
                )
                if reply.status not in PROMISES:
                    break
                after = float(reply.getheader("Retry-After", "0"))
                time.sleep(min(after, 1.3))
        ran = [
            line
            for name in run.servers
            for line in run.read_server(name)
            if line["ran"]
        ]
        for line in ran:
            run.note(f"server {line}")
        refused = [
            line for line in ran if answers[line["attempt"]] in PROMISES
        ]
        for line in refused:
            run.note(
                f"REFUSED {line['attempt']} was answered "
                f"{answers[line['attempt']]} and ran at {line['instance']}"
            )
        bodies = [line["body"] for line in ran]
        doubled = {body for body in bodies if bodies.count(body) > 1}
        run.note(
            f"{len(refused)} requests were answered with a promise and ran; "
            f"bookings that ran twice: {sorted(doubled)}"
        )
        return bool(refused)


if __name__ == "__main__":
    fleet.run_case(main)
