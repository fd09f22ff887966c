"""Servers crash one after the other under a schedule that many ask for."""

import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))

import fleet  # noqa: E402
import traffic  # noqa: E402

TRAFFIC_S = 62.0
WORK_MS = 300
# Seconds between two requests of a kind, and the deadline in ms.
KINDS = {"brief": (0.5, 14_000), "book": (0.05, 1_500), "view": (0.1, 1_500)}
FIRST_S = 2.0
GAP_S = 2.5
DOWN_S = 2.0
CRASHES = ("i-a", "i-b", "i-c", "i-a", "i-b", "i-c")


def main(trouble):
    with fleet.Fleet(CASE, machines=3) as run:
        traffic.start_servers(run, WORK_MS)
        run.configure(traffic.ROUTES, traffic.SERVICES)
        run.start_vms()

        def crash():
            start = time.monotonic()
            for number, name in enumerate(CRASHES):
                at_s = start + FIRST_S + number * GAP_S
                time.sleep(max(at_s - time.monotonic(), 0))
                run.servers[name][0].kill()
                run.note(f"server {name} crashes")
                time.sleep(DOWN_S)
                run.run_server(name, WORK_MS)
                run.note(f"server {name} is back")

        crashing = threading.Thread(target=crash)
        if trouble:
            crashing.start()
        clients = traffic.Traffic(run, kinds=KINDS)
        clients.play(TRAFFIC_S)
        if trouble:
            crashing.join()
        for name in run.servers:
            for line in run.read_server(name):
                run.note(f"server {line}")
        whole = clients.is_starved()
        return clients.is_starved(TRAFFIC_S / 2) and whole


if __name__ == "__main__":
    fleet.run_case(main)
