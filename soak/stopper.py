"""Stops VMs as the platform does, while upstreams stand still."""

import collections
import collections.abc
import concurrent.futures
import signal
import threading
import time

from soak import cluster
from soak import history
from soak import plan
from soak import stops
from tests import processes

__all__ = ["VmStopper"]

MS_IN_S = 1_000
POLL_S = 0.01


class VmStopper:
    """Tells VMs to stop, and kills those that outlive their grace period.

    :param soak_cluster: processes under test
    :param run_edit: makes a change of the configuration
    """

    def __init__(
        self,
        soak_cluster: cluster.SoakCluster,
        run_edit: collections.abc.Callable[[plan.ScheduledFault], None],
    ) -> None:
        self._cluster = soak_cluster
        self._run_edit = run_edit
        self._vm_locks = [threading.Lock() for _ in soak_cluster.vms]
        self._silence_lock = threading.Lock()
        # Number of silences by process, as those of several stops overlap.
        self._silences: collections.Counter[int] = collections.Counter()

    def stop(self, step: stops.ScheduledStop) -> None:
        """Stop a VM, and start it again when its process is gone.

        :param step: the scheduled stop
        """
        number = int(step.target)
        with self._vm_locks[number]:
            self._cluster.wait_until_ready(number)
            vm = self._cluster.expect_exit(number)
            if vm.popen.poll() is not None:
                # Another fault has killed it, and starts it again.
                return
            vm.terminate()
            shutdown = history.Shutdown(
                number, cluster.now_ms(), stops.GRACE_MS
            )
            self._cluster.history.shutdowns.append(shutdown)
            with concurrent.futures.ThreadPoolExecutor() as pool:
                running = [
                    pool.submit(action, *arguments)
                    for action, *arguments in self._list_actions(
                        step, shutdown, vm
                    )
                ]
                self._await_end(shutdown, vm)
                self._start_again(number, vm)
                for future in running:
                    future.result()
            self._cluster.wait_until_ready(number)

    def _list_actions(
        self,
        step: stops.ScheduledStop,
        shutdown: history.Shutdown,
        vm: processes.Process,
    ) -> collections.abc.Iterator[tuple]:
        yield self._silence, shutdown, step.silence
        if step.again_ms:
            yield self._stop_again, shutdown, vm, step.again_ms
        if step.freeze:
            yield self._freeze, shutdown, vm, step.freeze
        if step.reload_ms:
            yield self._reload, shutdown, vm, step.reload_ms
        if step.edit:
            yield self._edit, shutdown, step.edit

    def _await_end(
        self, shutdown: history.Shutdown, vm: processes.Process
    ) -> None:
        while vm.popen.poll() is None and cluster.now_ms() < shutdown.due_ms:
            time.sleep(POLL_S)
        if vm.popen.poll() is None:
            shutdown.is_killed = True
            vm.kill()
        shutdown.ended_ms = cluster.now_ms()
        shutdown.status = vm.popen.returncode

    def _start_again(self, number: int, vm: processes.Process) -> None:
        with self._cluster.vm_locks[number]:
            if self._cluster.vms[number] is vm:
                self._cluster.start_vm(number)

    def _stop_again(
        self,
        shutdown: history.Shutdown,
        vm: processes.Process,
        again_ms: int,
    ) -> None:
        _wait_until(shutdown.signalled_ms + again_ms)
        if vm.popen.poll() is None:
            shutdown.again_ms = cluster.now_ms()
            vm.terminate()

    def _freeze(
        self,
        shutdown: history.Shutdown,
        vm: processes.Process,
        freeze: tuple[int, int],
    ) -> None:
        from_ms, to_ms = freeze
        _wait_until(shutdown.signalled_ms + from_ms)
        window = self._open_window("vm_freeze", f"vm-{shutdown.vm}")
        vm.send_signal(signal.SIGSTOP)
        _wait_until(shutdown.signalled_ms + to_ms)
        vm.send_signal(signal.SIGCONT)
        window.to_ms = min(cluster.now_ms(), shutdown.ended_ms)

    def _reload(
        self,
        shutdown: history.Shutdown,
        vm: processes.Process,
        reload_ms: int,
    ) -> None:
        _wait_until(shutdown.signalled_ms + reload_ms)
        vm.send_signal(signal.SIGHUP)

    def _edit(
        self, shutdown: history.Shutdown, edit: plan.ScheduledFault
    ) -> None:
        _wait_until(shutdown.signalled_ms + edit.at_ms)
        self._run_edit(edit)

    def _silence(
        self,
        shutdown: history.Shutdown,
        silence: tuple[list[str], int, int],
    ) -> None:
        names, from_ms, to_ms = silence
        _wait_until(shutdown.signalled_ms + from_ms)
        upstreams = [self._cluster.find_process(name) for name in names]
        windows = [
            self._open_window(stops.SILENCE, f"up-{name}") for name in names
        ]
        for upstream in upstreams:
            self._change_silence(upstream, 1)
        _wait_until(shutdown.signalled_ms + to_ms)
        for upstream in upstreams:
            self._change_silence(upstream, -1)
        for window in windows:
            window.to_ms = cluster.now_ms()

    def _change_silence(
        self, upstream: processes.Process, change: int
    ) -> None:
        with self._silence_lock:
            pid = upstream.popen.pid
            self._silences[pid] += change
            upstream.send_signal(
                signal.SIGSTOP if self._silences[pid] else signal.SIGCONT
            )

    def _open_window(self, kind: str, target: str) -> history.FaultWindow:
        window = history.FaultWindow(kind, target, cluster.now_ms(), 1 << 62)
        self._cluster.history.fault_windows.append(window)
        return window


def _wait_until(at_ms: int) -> None:
    time.sleep(max(at_ms - cluster.now_ms(), 0) / MS_IN_S)
