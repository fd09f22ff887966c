"""Decides how long to wait for a prefill before its decode engine reads it."""

__all__ = ["compute_prefill_timeout_ms"]

# A prefill without a response is abandoned early enough for the decode
# engine, where a slot is reserved, to prefill the prompt itself.
READY_FACTOR = 3
MIN_TIMEOUT_MS = 400
# A decode engine reads a prompt at half the speed of a prefill engine.
CHUNKED_FACTOR = 2
# Time for the decode's first event after its prefill.
FIRST_EVENT_MS = 100


def compute_prefill_timeout_ms(
    ready_in_ms: int, target_left_ms: int | None
) -> int:
    """Return how long to wait for the response of a prefill.

    A late response usually means that other VMs have sent their prompts to
    the same engine, so the prompt would be read twice, and the second time it
    delays all streams of the decode engine.  So the wait lasts until the
    decode engine can just about meet the target for the first event.

    :param ready_in_ms: the expected time until the prefill ends, in ms
    :param target_left_ms: the time until the target for the first event, in
        ms; none if there is no target
    """
    usual_ms = max(ready_in_ms * READY_FACTOR, MIN_TIMEOUT_MS)
    if target_left_ms is None:
        return usual_ms
    chunked_ms = ready_in_ms * CHUNKED_FACTOR + FIRST_EVENT_MS
    return max(usual_ms, target_left_ms - chunked_ms)
