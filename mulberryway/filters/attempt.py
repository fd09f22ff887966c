"""One attempt to run a model request on a prefill and a decode engine."""

import threading

from mulberryway.controllers import cancelling
from mulberryway.controllers import scheduling
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams

__all__ = ["Attempt"]


class Attempt:
    """Holds a decode slot and KV cache until the attempt ends.

    A worker thread, the relay's event loop or the disconnect monitor may end
    an attempt.  Only the first call has an effect, so the slot is released
    exactly once.

    :param label: identifies the attempt to the engines
    :param job_id: identifies the attempt to the scheduler
    :param prefill: the prefill engine
    :param decode: the decode engine, where a slot is reserved
    :param assignment: the scheduler's choice of engines
    :param scheduling_: releases the slot when the attempt ends
    :param cancelling_: sends cancellations to the engines
    :param chosen_ms: when the decode engine was chosen, in ms
    :param decode_version: the software version of the decode engine
    :param required_version: the only software version that may decode; none
        for any
    """

    __slots__ = (
        "label",
        "job_id",
        "prefill",
        "decode",
        "prefill_name",
        "decode_name",
        "decode_version",
        "required_version",
        "chosen_ms",
        "ready_in_ms",
        "kv_tokens",
        "requires_reservation",
        "was_sent",
        "_scheduling",
        "_cancelling",
        "_lock",
        "_has_ended",
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
        decode_version: str = "",
        required_version: str | None = None,
    ) -> None:
        self.label = label
        self.job_id = job_id
        self.prefill = prefill
        self.decode = decode
        self.prefill_name = assignment.prefill
        self.decode_name = assignment.decode
        self.decode_version = decode_version
        self.required_version = required_version
        self.chosen_ms = chosen_ms
        self.ready_in_ms = assignment.ready_in_ms
        self.kv_tokens = assignment.kv_tokens
        self.requires_reservation = False
        # Whether an engine has received the request or its prompt.
        self.was_sent = False
        self._scheduling = scheduling_
        self._cancelling = cancelling_
        self._lock = threading.Lock()
        self._has_ended = False
        self._is_cancelled = False

    def end(self, outcome: jobs.JobOutcome, failed_upstream: str = "") -> None:
        """Release the slot; cancel at the engines unless the attempt is done.

        :param outcome: the outcome of the attempt
        :param failed_upstream: the name of the upstream that failed, if any
        """
        with self._lock:
            if self._has_ended:
                return
            self._has_ended = True
        self._scheduling.finish(self.job_id, outcome, failed_upstream)
        if outcome is not jobs.JobOutcome.DONE:
            self.free()

    def require_reservation(self, tokens: int) -> None:
        """Require a KV cache reservation before the decode may start.

        :param tokens: the minimum size of the reservation in tokens
        """
        self.kv_tokens = max(self.kv_tokens, tokens)
        self.requires_reservation = True

    def reassign_decode(
        self,
        name: str,
        version: str,
        engine: upstreams.Engine,
        now_ms: int,
    ) -> None:
        """Move the decode to another engine after the first one failed.

        :param name: the name of the new decode engine
        :param version: its software version
        :param engine: the new decode engine
        :param now_ms: the current time in ms
        """
        with self._lock:
            self.chosen_ms = now_ms
            self.decode_version = version
            self.decode_name = name
            self.decode = engine

    def free(self) -> None:
        """Cancel at both engines so that they free memory; keep the slot.

        A worker that is waiting for an engine is interrupted, or wakes up
        when the engine answers this cancellation.
        """
        with self._lock:
            if self._is_cancelled:
                return
            self._is_cancelled = True
        # A silent engine may delay the cancellations of other attempts.
        for engine in (self.prefill, self.decode):
            engine.interrupt(self.label)
        self._cancelling.cancel(self.prefill, self.label)
        if self.decode is not self.prefill:
            self._cancelling.cancel(self.decode, self.label)
