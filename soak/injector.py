"""Injects the faults of a schedule and records when each was active."""

import collections.abc
import concurrent.futures
import signal
import time

from soak import cluster
from soak import history
from soak import plan
from soak import stopper
from soak import stops
from standins import partitioned_vm
from tests import hosted_fleet

__all__ = ["Injector"]

MS_IN_S = 1_000
MAX_THREADS = 32
DELAY = {"delay_ms": 100, "jitter_ms": 300}
NO_DELAY = {"delay_ms": 0, "jitter_ms": 0}
BOTH_WAYS = ["up", "down"]
TRUNCATE_AFTER_EVENTS = 5
SHORT_IDLE = {"idle_ms": 400}
DRAIN_DURATION_S = 3.0
COLD_NOTICE_S = 1.0
PAUSE_S = 2
REWRITE_S = 0.4
# An upstream wants a pause in each answer of this many.
PAUSE_EVERY = 3
# Shares of the answers and requests of an upstream that spoils them.
SPOILED_PARTS = {"broken_part": 0.2, "copied_part": 0.1, "rejected_part": 0.03}
UPSTREAM_FAULT_SETTINGS = {
    "up_limited": ("limit_per_s", plan.LIMIT_PER_S),
    "up_error": ("fail_status", 500),
    "up_full": ("full", 1),
    "up_lapse": ("lapse", 1),
    "up_lose": ("lose_answer", 1),
    "up_break": ("cut_after", TRUNCATE_AFTER_EVENTS),
    "up_torn": ("torn_head", 1),
    "up_malformed": ("malformed_head", 1),
    **{kind: ("oddity", oddity) for kind, oddity in plan.ODDITIES.items()},
}
FOREIGN_ENTRY = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": plan.ZONES[0],
    "version": hosted_fleet.VERSION,
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
    "phase": "prefill",
}
UNUSABLE_FIELDS = (
    ("address", "\ufffd\ufffd\ufffd:8080"),
    ("address", "[::1]:8080"),
    ("address", "a..b:99999"),
    ("address", 7),
    ("state", "idle"),
    ("service", ["llm"]),
    ("born", 10**4_200),
    ("slots", "64"),
    ("zone", None),
    ("version", 1),
)
PROXY_FAULT_SETTINGS = {
    "delay": (DELAY, NO_DELAY),
    "one_way": ({"stall_down": True}, {"stall_down": False}),
    "stall": (
        {"stall_up": True, "stall_down": True},
        {"stall_up": False, "stall_down": False},
    ),
    "refuse": ({"refuse": True, "cut": True}, {"refuse": False}),
    "silent": ({"silent": BOTH_WAYS}, {}),
    "cut": ({"cut": True}, {}),
}
STORE_FAULT_NAMES = {
    "store_refuse": "refuse",
    "store_silent": "silent",
    "store_lose": "lose",
}


class Injector:
    """Injector for one fault schedule.

    :param soak_cluster: processes under test
    :param steps: scheduled faults
    """

    def __init__(
        self,
        soak_cluster: cluster.SoakCluster,
        steps: list[plan.ScheduledFault],
    ) -> None:
        self._cluster = soak_cluster
        self._steps = steps
        self._actions: dict[
            str, collections.abc.Callable[[plan.ScheduledFault], None]
        ] = {
            "vm_kill": lambda step: soak_cluster.kill_and_restart_vm(
                int(step.target)
            ),
            "vm_term": lambda step: soak_cluster.restart_vm_gracefully(
                int(step.target)
            ),
            "vm_pause": self._pause_vm,
            "vm_reload": self._reload_vm,
            "all_kill": self._kill_all,
            "store_compact": self._compact_store,
            "up_kill": self._kill_upstream,
            "up_pause": self._pause_upstream,
            "up_leave": self._drain_upstream,
            "up_leaving": self._announce_leaving,
            "up_pausing": self._ask_for_pauses,
            plan.SPOILED: self._spoil_answers,
            "edit_route": self._add_route,
            "edit_key": self._change_key,
            "edit_rate": self._change_rate,
            "edit_idle": self._change_idle,
            "poison": self._send_poison_request,
            plan.EVACUATION: self._evacuate_zone,
            plan.FOREIGN_ENTRIES: self._write_foreign_entries,
            plan.BACKUP: lambda step: soak_cluster.back_up_store(),
            plan.RETURN: self._return_store,
            stops.STOP: stopper.VmStopper(soak_cluster, self._inject).stop,
        }

    def inject_all(self) -> None:
        """Inject all faults at their times and wait until they have ended."""
        began_ms = cluster.now_ms()
        with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as pool:
            running = [
                pool.submit(self._run_step, step, began_ms)
                for step in self._steps
            ]
            for future in running:
                future.result()

    def _run_step(self, step: plan.ScheduledFault, began_ms: int) -> None:
        wait_ms = began_ms + step.at_ms - cluster.now_ms()
        time.sleep(max(wait_ms, 0) / MS_IN_S)
        self._inject(step)

    def _inject(self, step: plan.ScheduledFault) -> None:
        window = history.FaultWindow(
            step.kind, get_target_name(step), cluster.now_ms(), 1 << 62
        )
        self._cluster.history.fault_windows.append(window)
        try:
            self._find_action(step)(step)
        finally:
            window.to_ms = cluster.now_ms()

    def _find_action(
        self, step: plan.ScheduledFault
    ) -> collections.abc.Callable[[plan.ScheduledFault], None]:
        if step.kind in self._actions:
            return self._actions[step.kind]
        if step.kind in plan.PARTITIONS:
            return self._partition_vm
        if step.kind in STORE_FAULT_NAMES:
            return self._inject_store_fault
        if step.kind in UPSTREAM_FAULT_SETTINGS:
            return self._inject_upstream_fault
        return self._inject_proxy_fault

    def _inject_proxy_fault(self, step: plan.ScheduledFault) -> None:
        target_kind, _, fault = step.kind.partition("_")
        settings_on, settings_off = PROXY_FAULT_SETTINGS[fault]
        name = f"{target_kind}-{step.target}"
        self._cluster.set_proxy_faults(name, **settings_on)
        _wait_for_duration(step)
        if settings_off:
            self._cluster.set_proxy_faults(name, **settings_off)

    def _inject_store_fault(self, step: plan.ScheduledFault) -> None:
        self._cluster.set_store_fault(STORE_FAULT_NAMES[step.kind])
        _wait_for_duration(step)
        self._cluster.set_store_fault("")

    def _inject_upstream_fault(self, step: plan.ScheduledFault) -> None:
        fault, value = UPSTREAM_FAULT_SETTINGS[step.kind]
        self._cluster.set_upstream_fault(step.target, **{fault: value})
        _wait_for_duration(step)
        self._cluster.set_upstream_fault(step.target, **{fault: 0})

    def _partition_vm(self, step: plan.ScheduledFault) -> None:
        number = int(step.target)
        mode = partitioned_vm.Mode(step.kind.partition("_")[2])
        ports = self._cluster.upstream_proxy_ports.values()
        self._cluster.write_partition(number, mode, ports)
        _wait_for_duration(step)
        self._cluster.write_partition(number)

    def _pause_vm(self, step: plan.ScheduledFault) -> None:
        vm = self._cluster.vms[int(step.target)]
        vm.send_signal(signal.SIGSTOP)
        _wait_for_duration(step)
        vm.send_signal(signal.SIGCONT)

    def _reload_vm(self, step: plan.ScheduledFault) -> None:
        number = int(step.target)
        self._cluster.write_settings(
            number, self._cluster.store_proxy_ports[number]
        )
        self._cluster.vms[number].send_signal(signal.SIGHUP)

    def _write_foreign_entries(self, step: plan.ScheduledFault) -> None:
        """Leave server entries that cannot be used, as another writer would.

        Each has one field of another kind of value.
        """
        for number, (field, value) in enumerate(UNUSABLE_FIELDS):
            self._cluster.put(
                "servers", f"foreign-{number}", FOREIGN_ENTRY | {field: value}
            )
        _wait_for_duration(step)
        for number, _ in enumerate(UNUSABLE_FIELDS):
            self._cluster.drop("servers", f"foreign-{number}")

    def _kill_all(self, step: plan.ScheduledFault) -> None:
        numbers = range(len(self._cluster.vms))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            list(pool.map(self._cluster.kill_and_restart_vm, numbers))

    def _compact_store(self, step: plan.ScheduledFault) -> None:
        self._cluster.compact()

    def _return_store(self, step: plan.ScheduledFault) -> None:
        self._cluster.set_store_fault("refuse")
        _wait_for_duration(step)
        self._cluster.return_store()
        self._cluster.set_store_fault("")
        # Operators and servers notice the return a little later.
        time.sleep(REWRITE_S)
        self._cluster.write_lost_again()
        self._change_key(step)

    def _kill_upstream(self, step: plan.ScheduledFault) -> None:
        killed_instance = self._cluster.kill_incarnation(step.target)
        _wait_for_duration(step)
        self._cluster.start_incarnation(step.target)
        time.sleep(cluster.ENTRY_EXPIRY_S)
        self._cluster.drop("servers", killed_instance)

    def _pause_upstream(self, step: plan.ScheduledFault) -> None:
        process = self._cluster.find_process(step.target)
        process.send_signal(signal.SIGSTOP)
        _wait_for_duration(step)
        process.send_signal(signal.SIGCONT)

    def _drain_upstream(self, step: plan.ScheduledFault) -> None:
        name = step.target
        instance = self._cluster.instances[name]
        self._cluster.register(instance, "draining")
        self._record_edit("leave", instance)
        time.sleep(DRAIN_DURATION_S)
        if self._cluster.instances[name] != instance:
            # Another fault has killed this incarnation and started the next.
            return
        self._cluster.kill_incarnation(name)
        self._cluster.drop("servers", instance)
        self._cluster.start_incarnation(name)

    def _announce_leaving(self, step: plan.ScheduledFault) -> None:
        """Let an upstream say in its answers alone that it leaves."""
        name = step.target
        instance = self._cluster.instances[name]
        self._cluster.set_upstream_fault(name, leaving=1)
        _wait_for_duration(step)
        if self._cluster.instances[name] != instance:
            return
        self._cluster.kill_incarnation(name)
        self._cluster.drop("servers", instance)
        self._cluster.start_incarnation(name)

    def _ask_for_pauses(self, step: plan.ScheduledFault) -> None:
        self._cluster.set_upstream_fault(
            step.target, pause_s=PAUSE_S, pause_every=PAUSE_EVERY
        )
        _wait_for_duration(step)
        self._cluster.set_upstream_fault(step.target, pause_s=0)

    def _spoil_answers(self, step: plan.ScheduledFault) -> None:
        """Let an upstream break off answers, and send some twice."""
        self._cluster.set_upstream_fault(
            step.target, spoil_seed=step.at_ms, **SPOILED_PARTS
        )
        _wait_for_duration(step)
        self._cluster.set_upstream_fault(
            step.target, **dict.fromkeys(SPOILED_PARTS, 0)
        )

    def _evacuate_zone(self, step: plan.ScheduledFault) -> None:
        """Evacuate a zone; its servers are cold when it is used again."""
        zone = step.target
        if any(
            evacuation.zone == zone and evacuation.warm_ms > cluster.now_ms()
            for evacuation in self._cluster.history.evacuations
        ):
            return
        self._cluster.put("evacuations", zone, {})
        window = history.Evacuation(zone, cluster.now_ms())
        self._cluster.history.evacuations.append(window)
        _wait_for_duration(step)
        names = [
            name
            for name in self._cluster.config.list_upstream_names()
            if plan.choose_zone(name) == zone and self._cluster.is_alive(name)
        ]
        for name in names:
            self._cluster.register(
                self._cluster.instances[name], cold_left_ms=cluster.COLD_MS
            )
        # All VMs have the entries by then.
        time.sleep(COLD_NOTICE_S)
        window.ended_ms = cluster.now_ms()
        self._cluster.drop("evacuations", zone)
        # The servers report how long they stay cold, and not again.
        time.sleep(cluster.COLD_MS / MS_IN_S - COLD_NOTICE_S)
        window.warm_ms = window.ended_ms + int(
            cluster.COLD_MS - COLD_NOTICE_S * MS_IN_S
        )
        for name in names:
            if self._cluster.is_alive(name):
                self._cluster.register(self._cluster.instances[name])

    def _add_route(self, step: plan.ScheduledFault) -> None:
        with self._cluster.lock:
            if self._cluster.routes:
                return
            self._cluster.routes.append(
                hosted_fleet.make_route(
                    "r-late", "/late/", "app", "idempotent", 2
                )
            )
            self._cluster.configure()
        self._record_edit("add", "/late/")

    def _change_key(self, step: plan.ScheduledFault) -> None:
        """Revoke the rotated key and issue another one."""
        with self._cluster.lock:
            revoked_key = next(
                key
                for key in self._cluster.keys
                if key not in hosted_fleet.KEYS
            )
            del self._cluster.keys[revoked_key]
            issued_key = f"k-{len(self._cluster.history.keys)}"
            self._cluster.keys[issued_key] = "large"
            self._cluster.history.keys[issued_key] = "large"
            self._cluster.configure()
            self._record_edit("withdraw", revoked_key)
            self._record_edit("give", issued_key)

    def _change_rate(self, step: plan.ScheduledFault) -> None:
        with self._cluster.lock:
            self._cluster.rate = cluster.RATE // 2
            self._cluster.configure()
        _wait_for_duration(step)
        with self._cluster.lock:
            self._cluster.rate = cluster.RATE
            self._cluster.configure()

    def _change_idle(self, step: plan.ScheduledFault) -> None:
        """Shorten for a while how long idle connections stay open."""
        with self._cluster.lock:
            self._cluster.limits = hosted_fleet.LIMITS | SHORT_IDLE
            self._cluster.configure()
        _wait_for_duration(step)
        with self._cluster.lock:
            self._cluster.limits = hosted_fleet.LIMITS
            self._cluster.configure()

    def _send_poison_request(self, step: plan.ScheduledFault) -> None:
        """Send a request that crashes each server that executes it."""
        number = int(step.target)
        attempt = history.Attempt(
            f"poison-{step.at_ms}",
            history.RequestKind.PLAIN,
            "k-large",
            number,
            cluster.now_ms(),
        )
        attempt.has_disconnected = True
        self._cluster.history.attempts.append(attempt)
        try:
            self._cluster.send(
                number, "/plain/p", attempt.name, body=b"poison"
            )
        except OSError:
            # The VM may be down now; a poison request needs no response.
            pass
        time.sleep(cluster.RESTART_DELAY_S)
        self._restart_crashed_upstreams()

    def _restart_crashed_upstreams(self) -> None:
        for name in self._cluster.config.list_upstream_names():
            if not self._cluster.is_alive(name):
                killed_instance = self._cluster.instances[name]
                self._cluster.start_incarnation(name)
                self._cluster.drop("servers", killed_instance)

    def _record_edit(self, action: str, name: str) -> None:
        self._cluster.history.edits.append(
            history.Edit(action, name, cluster.now_ms())
        )


def get_target_name(step: plan.ScheduledFault) -> str:
    """Return the target of a fault as named in fault windows.

    :param step: scheduled fault
    """
    target_kind = step.kind.partition("_")[0]
    if step.kind == "poison":
        # The servers that will receive it are not known in advance.
        return "up-any"
    if target_kind in ("store", "all"):
        return "store"
    if target_kind == "edit":
        return "edit"
    if step.kind == plan.EVACUATION:
        return step.target
    return f"{target_kind}-{step.target}"


def _wait_for_duration(step: plan.ScheduledFault) -> None:
    time.sleep(step.duration_ms / MS_IN_S)
