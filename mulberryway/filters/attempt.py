"""One try of a model request at a prefill and a decode engine."""

import threading

from mulberryway.controllers import cancelling
from mulberryway.controllers import scheduling
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams

__all__ = ["Attempt"]


class Attempt:
    """Holds a decode slot, and engine memory, until it is ended.

    The end comes from whichever notices first: the worker thread, the
    relay's loop or the caller's going.  Only the first counts, so a slot is
    given back once.

    :param label: names it at the engines
    :param job_id: names it at the scheduler
    :param prefill: the engine for the prefill
    :param decode: the engine whose slot is reserved
    :param prefill_name: the prefill engine's name in its pool
    :param decode_name: the decode engine's name in its pool
    :param chosen_ms: when the decode engine was chosen
    """

    __slots__ = (
        "label",
        "job_id",
        "prefill",
        "decode",
        "prefill_name",
        "decode_name",
        "chosen_ms",
        "ready_in_ms",
        "kv_tokens",
        "requires_reservation",
        "_scheduling",
        "_cancelling",
        "_lock",
        "_is_over",
        "_is_cancelled",
    )

    def __init__(
        self,
        label: upstreams.AttemptLabel,
        job_id: str,
        prefill: upstreams.Engine,
        decode: upstreams.Engine,
        assignment: jobs.Assignment,
        scheduling_: scheduling.SchedulingController,
        cancelling_: cancelling.CancelController,
        chosen_ms: int,
    ) -> None:
        self.label = label
        self.job_id = job_id
        self.prefill = prefill
        self.decode = decode
        self.prefill_name = assignment.prefill
        self.decode_name = assignment.decode
        self.chosen_ms = chosen_ms
        self.ready_in_ms = assignment.ready_in_ms
        self.kv_tokens = assignment.kv_tokens
        self.requires_reservation = False
        self._scheduling = scheduling_
        self._cancelling = cancelling_
        self._lock = threading.Lock()
        self._is_over = False
        self._is_cancelled = False

    def end(self, how: jobs.JobOutcome, failed_upstream: str = "") -> None:
        """Give the slot back, and free engine memory unless all went well.

        :param how: how it ended
        :param failed_upstream: the name of the upstream that failed, if any
        """
        with self._lock:
            if self._is_over:
                return
            self._is_over = True
        self._scheduling.finish(self.job_id, how, failed_upstream)
        if how is not jobs.JobOutcome.DONE:
            self.free()

    def require_reservation(self, tokens: int) -> None:
        """Let the decode begin only where the engine has reserved its room.

        :param tokens: tokens of KV cache that it needs at least
        """
        self.kv_tokens = max(self.kv_tokens, tokens)
        self.requires_reservation = True

    def reassign_decode(
        self, name: str, engine: upstreams.Engine, now_ms: int
    ) -> None:
        """Decode elsewhere, for the engine chosen first has refused.

        :param name: the other upstream's name
        :param engine: the other upstream
        :param now_ms: the present
        """
        with self._lock:
            self.chosen_ms = now_ms
            self.decode_name = name
            self.decode = engine

    def free(self) -> None:
        """Let both engines free what they hold; the slot is kept.

        While a worker still waits for an engine, its answer to this cancel
        is what wakes the worker up.
        """
        with self._lock:
            if self._is_cancelled:
                return
            self._is_cancelled = True
        self._cancelling.cancel(self.prefill, self.label)
        if self.decode is not self.prefill:
            self._cancelling.cancel(self.decode, self.label)
