"""Pools, jobs and load reports for tests of the scheduling policy."""

from mulberryway import clock
from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams

ROLES = tables.UpstreamRole


def make_pool(
    prefills=2, decodes=2, slots=4, name="lm", leaving=(), cordoned=()
):
    """Return a pool with prefill engines p0.. and decode engines d0.."""
    members = [("p", i, ROLES.PREFILL) for i in range(prefills)]
    members += [("d", i, ROLES.DECODE) for i in range(decodes)]
    rows = tuple(
        tables.Upstream(
            f"{letter}{i}",
            f"127.0.0.1:{i}",
            ("a", "b", "c")[i % 3],
            role,
            leaving=f"{letter}{i}" in leaving,
            cordoned=f"{letter}{i}" in cordoned,
        )
        for letter, i, role in members
    )
    return tables.Pool(name, tables.PoolKind.MODEL, rows, ("m",), slots=slots)


def make_reading_pool(prefills, decodes, **values):
    """Return a pool of 64 slots with chunked prefill on decode engines.

    Callers pass its memory, links and targets.
    """
    plain = make_pool(
        prefills,
        decodes,
        64,
        leaving=values.pop("leaving", ()),
        cordoned=values.pop("cordoned", ()),
    )
    defaults = {
        "block_tokens": 16,
        "has_chunked_prefill": True,
        "pause_ms": 300,
    }
    return tables.Pool(
        plain.name,
        plain.kind,
        plain.upstreams,
        plain.models,
        slots=64,
        **(defaults | values),
    )


def make_job(job_id, account="a", now_ms=0, within_ms=1_100, **values):
    """Return a job with defaults for values that a test does not set."""
    settings = {
        "weight": 1,
        "pool": "lm",
        "model": "m",
        "prompt_tokens": 500,
        "max_tokens": 100,
        "prefix_hashes": (),
        "body_bytes": 2_000,
    } | values
    return jobs.Job(
        job_id,
        account,
        arrived_ms=now_ms,
        deadline=clock.Deadline(now_ms + within_ms),
        **settings,
    )


def make_load(running=0, waiting=0, slots=4):
    """Return a load report."""
    return upstreams.EngineLoad(running, waiting, slots, 90, 100, ("m",))
