"""Chooses decode engines for chunked prefills between decode steps."""

import collections.abc
import random

from mulberryway.policy import jobs
from mulberryway.policy import placements
from mulberryway.policy import upstream_view

__all__ = ["choose_aggregated", "meets_target", "prefers_aggregated"]

# A chunked prefill delays all streams of its decode engine.  For a job without
# a first token target it must save at least this much time.
MIN_SAVING_MS = 150.0
# Range of the random offset that is added to an engine's number of streams.
# Without it, VMs that choose at the same time would all choose the engine
# with the fewest streams.
STREAM_COUNT_JITTER = 4


def choose_aggregated(
    options: list[placements.Placement],
    is_prefill_unavailable: bool,
    stream_ms: float,
    yield_ms: int,
    random_: random.Random,
    now_ms: int,
    compute_distance: collections.abc.Callable[
        [upstream_view.UpstreamView], float
    ] = lambda view: 0.0,
) -> placements.Placement | None:
    """Return the decode engine for a prompt's chunked prefill.

    It serves requests that prefill engines cannot run in time, or at all.

    :param options: the engines with free capacity
    :param is_prefill_unavailable: whether no prefill engine accepts prompts
    :param stream_ms: typical duration of a stream, in milliseconds
    :param yield_ms: how long an engine that could start another chunked
        prefill is left to peers' jobs with priority, in milliseconds
    :param random_: seeded random generator
    :param now_ms: current time in milliseconds
    :param compute_distance: returns an engine's distance, as a number of
        streams
    :returns: the option, or none if the prefill would stretch inter-token
        gaps beyond their limit
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
            + compute_distance(option.prefill)
            + random_.random() * STREAM_COUNT_JITTER,
        ),
        default=None,
    )


def meets_target(disaggregated: placements.Placement, job: jobs.Job) -> bool:
    """Return whether a prefill engine meets a job's first token target.

    :param disaggregated: the placement on a prefill engine
    :param job: the job
    :returns: whether it does; false for a job without a target
    """
    return disaggregated.first_token_ms <= _get_target_ms(disaggregated, job)


def prefers_aggregated(
    aggregated: placements.Placement,
    disaggregated: placements.Placement,
    job: jobs.Job,
) -> bool:
    """Return whether a chunked prefill on a decode engine is preferable.

    A chunked prefill delays all streams of the engine.  It is preferable if
    it meets a target that the prefill engine misses or, without a target, if
    it saves at least :data:`MIN_SAVING_MS`.

    :param aggregated: the placement with a chunked prefill
    :param disaggregated: the placement on a prefill engine, which misses the
        target
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
    # The margin leaves time for one prompt that another VM starts first.
    return job.first_token_target_ms - max(
        disaggregated.prefill_ms, placements.DEADLINE_MARGIN_MS
    )


def _list_fallback(
    options: list[placements.Placement],
) -> list[placements.Placement]:
    """Return the fallback engine for a prompt that is too long for any.

    If every engine ran such prompts, all streams would miss their inter-token
    gap; with one engine, only its own streams do.  So all VMs choose the
    first engine by name that has capacity, and short prompts avoid it.
    """
    fits_somewhere = any(
        option.prefill.fits_prefill_alone(option.prefill_ms)
        for option in options
    )
    if fits_somewhere or not options:
        # An engine can run it once its current prefills have ended.
        return []
    return [min(options, key=lambda option: option.prefill.row.name)]
