"""Which decode engine reads a prompt itself, between its streams' tokens."""

import random

from mulberryway.policy import jobs
from mulberryway.policy import placements

__all__ = ["choose_aggregated", "meets_target", "prefers_aggregated"]

# A decode engine that reads a prompt itself holds up the streams it runs, so
# it does that only where it clearly saves a caller without a target time.
MIN_SAVING_MS = 150.0
# Engines whose streams differ by fewer than so many are equal for a prompt
# that they read themselves, so that VMs which choose at the same moment do
# not all take the emptiest one.
STREAM_COUNT_JITTER = 4


def choose_aggregated(
    options: list[placements.Placement],
    is_prefill_unavailable: bool,
    stream_ms: float,
    yield_ms: int,
    random_: random.Random,
    now_ms: int,
) -> placements.Placement | None:
    """Return the decode engine that should read a prompt itself.

    It serves requests that prefill engines cannot read in time, or at all.

    :param options: the engines with room
    :param is_prefill_unavailable: no prefill engine takes the prompt
    :param stream_ms: how long a stream usually lasts
    :param yield_ms: for how long an engine that may read again is left to
        peers' jobs that should go before
    :param random_: a seeded source of chance
    :param now_ms: the present
    :returns: the option, or none where a read would make streams pause too
        long
    """
    fitting = [
        option
        for option in options
        if option.prefill.fits_prefill(option.prefill_ms, now_ms, yield_ms)
    ]
    if not fitting and is_prefill_unavailable:
        fitting = _list_fallback(options)
    return min(
        fitting,
        key=lambda option: (
            option.prefill.prefill_budget.is_gap_exceeded(stream_ms, now_ms),
            option.prefill.count_running()
            + random_.random() * STREAM_COUNT_JITTER,
        ),
        default=None,
    )


def meets_target(disaggregated: placements.Placement, job: jobs.Job) -> bool:
    """Tell whether a prompt that a prefill engine reads comes on time.

    :param apart: where it is read
    :param job: the job
    :returns: false also without a target
    """
    return disaggregated.first_token_ms <= _get_target_ms(disaggregated, job)


def prefers_aggregated(
    aggregated: placements.Placement,
    disaggregated: placements.Placement,
    job: jobs.Job,
) -> bool:
    """Tell whether a decode engine should read a prompt itself.

    It holds up all streams that it runs, so it does that where it makes a
    first token on time that else would be late; without a target, where it
    clearly saves time.

    :param aggregated: the decode engine's own read
    :param disaggregated: the read by a prefill engine, which is not on time
    :param job: the job
    """
    if not job.first_token_target_ms:
        return (
            aggregated.first_token_ms + MIN_SAVING_MS
            < disaggregated.first_token_ms
        )
    return aggregated.first_token_ms <= _get_target_ms(disaggregated, job)


def _get_target_ms(
    disaggregated: placements.Placement, job: jobs.Job
) -> float:
    # A prompt that came to another VM at the same moment may go before.
    return job.first_token_target_ms - max(
        disaggregated.prefill_ms, placements.DEADLINE_MARGIN_MS
    )


def _list_fallback(
    options: list[placements.Placement],
) -> list[placements.Placement]:
    """Return where a prompt does least harm that is too long anywhere.

    If each engine reads long prompts, all streams pause too long; if one
    does, the streams of the others are on time.  So all VMs take the first
    engine by name that has room, and short prompts keep away from it.
    """
    fits_somewhere = any(
        option.prefill.fits_prefill_alone(option.prefill_ms)
        for option in options
    )
    if fits_somewhere or not options:
        # An engine may read it as soon as it has rested.
        return []
    return [min(options, key=lambda option: option.prefill.row.name)]
