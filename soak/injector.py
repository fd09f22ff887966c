"""Carries out a plan's faults on the world, and writes down their times."""

import collections.abc
import concurrent.futures
import signal
import time

from soak import cluster
from soak import history
from soak import plan
from tests import hosted_fleet

__all__ = ["Injector"]

MS_IN_S = 1_000
MOST_THREADS = 32
DELAY = {"delay_ms": 100, "jitter_ms": 300}
NO_DELAY = {"delay_ms": 0, "jitter_ms": 0}
BOTH_WAYS = ["up", "down"]
BREAK_AFTER = 5
LEAVE_S = 3.0
UPSTREAM_SWITCHES = {
    "up_error": ("fail_status", 500),
    "up_full": ("full", 1),
    "up_lapse": ("lapse", 1),
    "up_lose": ("lose_answer", 1),
    "up_break": ("cut_after", BREAK_AFTER),
}
PAIR_SWITCHES = {
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
STORE_SWITCHES = {
    "store_refuse": "refuse",
    "store_silent": "silent",
    "store_lose": "lose",
}


class Injector:
    """Plays one plan.

    :param world_: the processes
    :param steps: the plan
    """

    def __init__(
        self, world_: cluster.SoakCluster, steps: list[plan.ScheduledFault]
    ) -> None:
        self._world = world_
        self._steps = steps
        self._actions: dict[
            str, collections.abc.Callable[[plan.ScheduledFault], None]
        ] = {
            "vm_kill": lambda step: world_.kill_and_restart_vm(
                int(step.target)
            ),
            "vm_term": lambda step: world_.restart_vm_gracefully(
                int(step.target)
            ),
            "vm_pause": self._pause_vm,
            "vm_reload": self._reload_vm,
            "all_kill": self._kill_all,
            "store_compact": self._compact,
            "up_kill": self._kill_upstream,
            "up_pause": self._pause_upstream,
            "up_leave": self._leave,
            "edit_route": self._add_route,
            "edit_key": self._change_key,
            "edit_rate": self._change_rate,
            "poison": self._poison,
        }

    def inject_all(self) -> None:
        """Carry out all steps at their times, and wait for their ends."""
        began_ms = cluster.now_ms()
        with concurrent.futures.ThreadPoolExecutor(MOST_THREADS) as pool:
            running = [
                pool.submit(self._play_step, step, began_ms)
                for step in self._steps
            ]
            for one in running:
                one.result()

    def _play_step(self, step: plan.ScheduledFault, began_ms: int) -> None:
        wait_ms = began_ms + step.at_ms - cluster.now_ms()
        time.sleep(max(wait_ms, 0) / MS_IN_S)
        window = history.FaultWindow(
            step.kind, get_target_name(step), cluster.now_ms(), 1 << 62
        )
        self._world.seen.fault_windows.append(window)
        try:
            self._find_action(step)(step)
        finally:
            window.to_ms = cluster.now_ms()

    def _find_action(
        self, step: plan.ScheduledFault
    ) -> collections.abc.Callable[[plan.ScheduledFault], None]:
        if step.kind in self._actions:
            return self._actions[step.kind]
        if step.kind in STORE_SWITCHES:
            return self._switch_store
        if step.kind in UPSTREAM_SWITCHES:
            return self._switch_upstream
        return self._switch_pair

    def _switch_pair(self, step: plan.ScheduledFault) -> None:
        place, _, how = step.kind.partition("_")
        on, off = PAIR_SWITCHES[how]
        name = f"{place}-{step.target}"
        self._world.set_proxy_faults(name, **on)
        _rest(step)
        if off:
            self._world.set_proxy_faults(name, **off)

    def _switch_store(self, step: plan.ScheduledFault) -> None:
        self._world.set_store_fault(STORE_SWITCHES[step.kind])
        _rest(step)
        self._world.set_store_fault("")

    def _switch_upstream(self, step: plan.ScheduledFault) -> None:
        fault, value = UPSTREAM_SWITCHES[step.kind]
        self._world.set_upstream_fault(step.target, **{fault: value})
        _rest(step)
        self._world.set_upstream_fault(step.target, **{fault: 0})

    def _pause_vm(self, step: plan.ScheduledFault) -> None:
        vm = self._world.vms[int(step.target)]
        vm.send_signal(signal.SIGSTOP)
        _rest(step)
        vm.send_signal(signal.SIGCONT)

    def _reload_vm(self, step: plan.ScheduledFault) -> None:
        number = int(step.target)
        self._world.write_settings(
            number, self._world.store_proxy_ports[number]
        )
        self._world.vms[number].send_signal(signal.SIGHUP)

    def _kill_all(self, step: plan.ScheduledFault) -> None:
        numbers = range(len(self._world.vms))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            list(pool.map(self._world.kill_and_restart_vm, numbers))

    def _compact(self, step: plan.ScheduledFault) -> None:
        self._world.compact()

    def _kill_upstream(self, step: plan.ScheduledFault) -> None:
        ended = self._world.kill_incarnation(step.target)
        _rest(step)
        self._world.start_incarnation(step.target)
        time.sleep(cluster.ENTRY_EXPIRY_S)
        self._world.drop("servers", ended)

    def _pause_upstream(self, step: plan.ScheduledFault) -> None:
        process = self._world.find_process(step.target)
        process.send_signal(signal.SIGSTOP)
        _rest(step)
        process.send_signal(signal.SIGCONT)

    def _leave(self, step: plan.ScheduledFault) -> None:
        name = step.target
        instance = self._world.instances[name]
        self._world.register(instance, "draining")
        self._note("leave", instance)
        time.sleep(LEAVE_S)
        if self._world.instances[name] != instance:
            # It was killed meanwhile and has another life.
            return
        self._world.kill_incarnation(name)
        self._world.drop("servers", instance)
        self._world.start_incarnation(name)

    def _add_route(self, step: plan.ScheduledFault) -> None:
        with self._world.lock:
            if self._world.routes:
                return
            self._world.routes.append(
                hosted_fleet.make_route(
                    "r-late", "/late/", "app", "idempotent", 2
                )
            )
            self._world.configure()
        self._note("add", "/late/")

    def _change_key(self, step: plan.ScheduledFault) -> None:
        """Take the changing key away and give another one."""
        with self._world.lock:
            before = next(
                key for key in self._world.keys if key not in hosted_fleet.KEYS
            )
            del self._world.keys[before]
            after = f"k-{len(self._world.seen.keys)}"
            self._world.keys[after] = "large"
            self._world.seen.keys[after] = "large"
            self._world.configure()
            self._note("withdraw", before)
            self._note("give", after)

    def _change_rate(self, step: plan.ScheduledFault) -> None:
        with self._world.lock:
            self._world.rate = cluster.RATE // 2
            self._world.configure()
        _rest(step)
        with self._world.lock:
            self._world.rate = cluster.RATE
            self._world.configure()

    def _poison(self, step: plan.ScheduledFault) -> None:
        """Send a request of which each server dies that runs it."""
        number = int(step.target)
        attempt = history.Attempt(
            f"poison-{step.at_ms}",
            history.RequestKind.PLAIN,
            "k-large",
            number,
            cluster.now_ms(),
        )
        attempt.has_disconnected = True
        self._world.seen.attempts.append(attempt)
        try:
            self._world.send(number, "/plain/p", attempt.name, body=b"poison")
        except OSError:
            # The VM may be down at this moment; nothing is owed to poison.
            pass
        time.sleep(cluster.DOWN_S)
        self._revive()

    def _revive(self) -> None:
        for name in self._world.shape.list_upstream_names():
            if not self._world.is_alive(name):
                ended = self._world.instances[name]
                self._world.start_incarnation(name)
                self._world.drop("servers", ended)

    def _note(self, what: str, name: str) -> None:
        self._world.seen.edits.append(
            history.Edit(what, name, cluster.now_ms())
        )


def get_target_name(step: plan.ScheduledFault) -> str:
    """Return what a step befalls, as windows name it.

    :param step: the step
    """
    place = step.kind.partition("_")[0]
    if step.kind == "poison":
        # Which servers it reaches is not known before.
        return "up-any"
    if place in ("store", "all"):
        return "store"
    if place == "edit":
        return "edit"
    return f"{place}-{step.target}"


def _rest(step: plan.ScheduledFault) -> None:
    time.sleep(step.duration_ms / MS_IN_S)
