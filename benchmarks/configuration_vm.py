"""Runs one VM's table distribution without a router, for benchmarks.

It prints a line ``REVISION WALL_MS`` for each revision that comes into force
and, on SIGUSR1 and SIGTERM, one JSON line with its resource usage so far.
"""

import collections.abc
import json
import random
import resource
import signal
import threading
import typing

from absl import app
from absl import flags

from mulberryway import clock
from mulberryway import logs
from mulberryway import peers
from mulberryway import settings
from mulberryway.controllers import configuration_service
from mulberryway.controllers import membership
from mulberryway.objects import call_metrics
from mulberryway.objects import http
from mulberryway.peers.gen.membership import Membership
from mulberryway.policy import member

FLAGS = flags.FLAGS

flags.DEFINE_string("settings", None, "the VM's settings, a TOML file")


class ConfigurationVm:
    """Membership, peer server and table distribution of one VM.

    :param settings_: its settings
    """

    def __init__(self, settings_: settings.Settings) -> None:
        self.clock = clock.SystemClock()
        self.counts = call_metrics.InMemoryCallCounter()
        store = http.HttpObjectStore(
            settings_.platform_url,
            settings_.platform_timeout_ms,
            self.clock,
            self.counts,
        )
        self.client = peers.PeerClient(
            settings_.peers_secret, self.clock, settings_.peers_timeout_ms
        )
        self.members = membership.MembershipController(
            make_member(settings_, self.clock),
            settings_.peers_seeds,
            self.client,
            None,
            self.clock,
            settings_.peers_period_ms,
        )
        self.service = configuration_service.ConfigurationService(
            settings_, store, self.client, self.members, self.clock
        )
        self.server = peers.PeerServer(
            settings_.vm_address,
            settings_.peers_port,
            settings_.peers_secret,
            {
                configuration_service.SERVICE: self.service.processor,
                "Membership": Membership.Processor(self.members.exchange),
            },
            self.clock,
        )

    def start(self) -> None:
        self.server.start()
        self.members.start()
        self.service.start()

    def stop(self) -> None:
        self.service.stop()
        self.members.stop()
        self.server.stop()
        self.client.close()

    def read_usage(self) -> dict[str, typing.Any]:
        """Return calls, bytes, CPU time and memory used so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        calls = self.counts.get_counts()
        return {
            "platform_calls": {
                f"{purpose} {outcome}": count.calls
                for (purpose, outcome), count in calls.items()
            },
            "platform_bytes": sum(
                count.sent + count.received for count in calls.values()
            ),
            "configuration_bytes": self.count_bytes("Configuration"),
            "membership_bytes": self.count_bytes("Membership"),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "memory_kb": usage.ru_maxrss,
        }

    def count_bytes(self, service: str) -> int:
        """Return one service's bytes, sent and received.

        :param service: name of the service
        :returns: payload bytes of requests and responses
        """
        return sum(
            count.payload_bytes
            for endpoint in (self.client, self.server)
            for count in endpoint.traffic.get_counts()
            if count.kind.startswith(service)
        )


def make_member(
    settings_: settings.Settings, clock_: clock.Clock
) -> member.Member:
    return member.Member(
        settings_.vm_name,
        settings_.vm_address,
        settings_.peers_port,
        settings_.router_port,
        settings_.vm_zone,
        settings_.vm_region,
        clock_.wall_ms() * 1000 + random.randrange(1000),
    )


def main(arguments: collections.abc.Sequence[str]) -> None:
    """Run the VM until SIGTERM."""
    settings_ = settings.read_settings(FLAGS.settings)
    logs.set_up(settings_.vm_name, settings_.telemetry_log_level)
    vm = ConfigurationVm(settings_)
    vm.service.source.subscribe(
        lambda tables: print(tables.revision, vm.clock.wall_ms(), flush=True)
    )
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGUSR1, lambda *_: print_usage(vm))
    vm.start()
    print("ready", vm.server.port, flush=True)
    stopping.wait()
    print_usage(vm)
    vm.stop()


def print_usage(vm: ConfigurationVm) -> None:
    print(json.dumps(vm.read_usage()), flush=True)


if __name__ == "__main__":
    flags.mark_flag_as_required("settings")
    app.run(main)
