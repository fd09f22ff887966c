"""Pools and jobs that the tests of the decisions share."""

from mulberryway import clock
from mulberryway import tables
from mulberryway.policy import jobs
from mulberryway.upstreams import base as upstreams

ROLES = tables.UpstreamRole


def make_pool(prefills=2, decodes=2, slots=4, name="lm", leaving=()):
    """A pool with engines p0.. for prefill and d0.. for decode."""
    members = [("p", i, ROLES.PREFILL) for i in range(prefills)]
    members += [("d", i, ROLES.DECODE) for i in range(decodes)]
    rows = tuple(
        tables.Upstream(
            f"{letter}{i}",
            f"127.0.0.1:{i}",
            ("a", "b", "c")[i % 3],
            role,
            leaving=f"{letter}{i}" in leaving,
        )
        for letter, i, role in members
    )
    return tables.Pool(name, tables.PoolKind.MODEL, rows, ("m",), slots=slots)


def make_reading_pool(prefills, decodes, **values):
    """A pool of 64 slots whose decode engines can read prompts themselves.

    Its memory, links and targets are a test's to tell.
    """
    plain = make_pool(prefills, decodes, 64, leaving=values.pop("leaving", ()))
    given = {"block_tokens": 16, "self_reading": True, "pause_ms": 300}
    return tables.Pool(
        plain.name,
        plain.kind,
        plain.upstreams,
        plain.models,
        slots=64,
        **(given | values),
    )


def make_job(job_id, account="a", now_ms=0, within_ms=1_100, **values):
    """A job with values that a test does not care for filled in."""
    given = {
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
        **given,
    )


def make_load(running=0, waiting=0, slots=4):
    """A load report."""
    return upstreams.EngineLoad(running, waiting, slots, 90, 100, ("m",))
