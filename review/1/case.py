"""Starved: unreadable entries among the servers end all streams."""

import threading
import time

from common import deployment
from common import servers
from common import traffic

QUIET_S = 5
ENTRY_S = 40
# Longer than contact_ms, so that all VMs are in touch.
SETTLE_S = 5
HALF_S = 40
STREAMS_PER_S = 6.5
CALLS_PER_S = 36
PHASES = ("prefill", "prefill", "prefill", "decode", "decode", "decode")
# What JSON shows of bytes that cannot be read.
UNREADABLE = "\ufffd\ufffd\ufffd:8080"
TOKENS = [("Model", "m"), ("Token-Counts", "5200,70")]


class Counts:
    """Requests sent and served, by kind."""

    def __init__(self):
        self._lock = threading.Lock()
        self.sent = {"stream": 0, "call": 0}
        self.served = {"stream": 0, "call": 0}

    def add(self, kind, is_served):
        """Count one request."""
        with self._lock:
            self.sent[kind] += 1
            self.served[kind] += is_served

    def compute_share(self, kind=None):
        """Return the share that was served, of one kind or of all."""
        kinds = [kind] if kind else list(self.sent)
        sent = sum(self.sent[name] for name in kinds)
        return sum(self.served[name] for name in kinds) / max(sent, 1)


def play(folder, has_trouble):
    """Return whether streams were served less than a quarter as often.

    That has to hold for the whole run and also for its second half alone,
    which begins after the entries have been removed.
    """
    with deployment.Deployment(folder) as fleet:
        start_servers(fleet)
        fleet.start()
        whole, half = Counts(), Counts()
        tallies = [whole]

        def send_stream(number):
            counted = tuple(tallies)
            attempt = f"stream-{number}"
            prefix = f"5c1e07a2:200,{number:08x}:5000"
            answer = deployment.send(
                fleet,
                number % 3,
                "POST",
                "/digest/a",
                attempt,
                [*TOKENS, ("Prompt-Prefix", prefix)],
                b"x" * 600,
                deadline_ms=14_000,
            )
            last = f"id: {servers.EVENTS}\n".encode()
            is_served = answer.status == 200 and last in answer.body
            for tally in counted:
                tally.add("stream", is_served and answer.is_whole)

        def send_call(number):
            counted = tuple(tallies)
            answer = deployment.send(
                fleet, number % 3, "POST", "/book/a", f"call-{number}"
            )
            for tally in counted:
                tally.add("call", answer.status == 200)

        flows = [
            traffic.Traffic(STREAMS_PER_S, send_stream),
            traffic.Traffic(CALLS_PER_S, send_call),
        ]
        time.sleep(QUIET_S)
        if has_trouble:
            fleet.record("entries of another writer appear")
            for zone in deployment.ZONES:
                fleet.store.put("servers", f"i-{zone}", make_entry(zone))
        time.sleep(ENTRY_S)
        if has_trouble:
            fleet.record("the entries are removed")
            for zone in deployment.ZONES:
                fleet.store.remove("servers", f"i-{zone}")
        time.sleep(SETTLE_S)
        fleet.record("the second half begins")
        tallies.append(half)
        time.sleep(HALF_S)
        for flow in flows:
            flow.stop()
        for name, counts in (("whole run", whole), ("second half", half)):
            line = (
                f"{name}: streams {counts.served['stream']} of "
                f"{counts.sent['stream']}, calls {counts.served['call']} of "
                f"{counts.sent['call']}"
            )
            fleet.record(line)
            print(line)
        return is_starved(whole) and is_starved(half)


def is_starved(counts):
    """Return whether streams were served less than a quarter as often."""
    return counts.compute_share("stream") < counts.compute_share() / 4


def start_servers(fleet):
    """Start six model servers and three of the application; configure."""
    handles = {}
    for number, phase in enumerate(PHASES):
        servers.Engine(
            fleet.store,
            fleet.record,
            f"i-llm{number}",
            "rota-llm",
            deployment.ZONES[number % 3],
            fleet.pick_server_address(),
            phase=phase,
            handles=handles,
        )
    for number, zone in enumerate(deployment.ZONES):
        servers.PlainServer(
            fleet.store,
            fleet.record,
            f"i-app{number}",
            "rota-app",
            zone,
            fleet.pick_server_address(),
        )
    engine = {
        "slots": 48,
        "kv_capacity": 76160,
        "kv_bytes": 163840,
        "link_mbps": 4800000.0,
        "handle_ttl_s": 0.5,
        "swap_s": servers.SWAP_S,
        "hold_ms": 2000.0,
        "models": [{"name": "m"}],
    }
    fleet.configure(
        [
            deployment.make_route(
                "r-digest",
                "/digest/",
                "rota-llm",
                "streaming",
                14_000,
                affinity=True,
                resumable=False,
                target_gap_ms=300,
            ),
            deployment.make_route(
                "r-book", "/book/", "rota-app", "non_idempotent", 1_500
            ),
        ],
        [
            {
                "name": "rota-llm",
                "health_path": "/health",
                "max_conns": 310,
                "engine": engine,
            },
            {"name": "rota-app", "health_path": "/health", "max_conns": 110},
        ],
    )


def make_entry(zone):
    """Return an entry with an address that cannot be read."""
    return {
        "service": "rota-llm",
        "address": UNREADABLE,
        "zone": zone,
        "version": "v1",
        "slots": 48,
        "state": "ready",
        "cold_left_ms": 0,
        "phase": "prefill",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 0,
    }


if __name__ == "__main__":
    deployment.run(play)
