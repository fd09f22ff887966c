"""Cross-row validation of the tables."""

import collections.abc
import itertools

import expression

from mulberryway import errors
from mulberryway.tables import columns
from mulberryway.tables import model

__all__ = ["validate_tables"]

Problems = collections.abc.Iterator[errors.TablesError]


def validate_tables(
    tables: model.Tables,
) -> expression.Result[None, errors.Fault]:
    """Check the constraints between rows.

    :param tables: the tables
    :returns: nothing, or ``INVALID_TABLES`` for the first invalid row
    """
    problem = next(
        itertools.chain(
            _check_routes(tables),
            _check_prefixes(tables),
            _check_pools(tables),
            _check_keys(tables),
        ),
        None,
    )
    if problem is not None:
        return expression.Error(problem.fault)
    return expression.Ok(None)


def _check_routes(tables: model.Tables) -> Problems:
    for route in tables.routes.values():
        pool = tables.pools.get(route.pool)
        if pool is None:
            yield columns.make_error(
                "routes",
                route.name,
                "pool",
                f"a pool of the table of pools, not {route.pool}",
            )
            continue
        yield from _check_models(route, pool)
        yield from (
            columns.make_error(
                "routes",
                route.name,
                "accounts",
                f"client accounts of the table, not {account}",
            )
            for account in route.accounts
            if account not in tables.accounts
        )


def _check_models(route: model.Route, pool: model.Pool) -> Problems:
    yield from (
        columns.make_error(
            "routes",
            route.name,
            "models",
            f"models that pool {pool.name} serves, not {name}",
        )
        for name in route.models
        if name not in pool.models
    )


def _check_prefixes(tables: model.Tables) -> Problems:
    """Reject equal prefixes; the order of the rows would decide the match."""
    owners: dict[str, str] = {}
    for route in tables.routes.values():
        prefix = route.path_prefix.rstrip("/")
        owner = owners.setdefault(prefix, route.name)
        if owner != route.name:
            yield columns.make_error(
                "routes",
                route.name,
                "path_prefix",
                f"a prefix that route {owner} does not have",
            )


def _check_pools(tables: model.Tables) -> Problems:
    for pool in tables.pools.values():
        if pool.kind is model.PoolKind.MODEL:
            yield from _check_model_pool(pool)
        else:
            yield from _check_plain_pool(pool)
        yield from _check_addresses(pool)


def _check_model_pool(pool: model.Pool) -> Problems:
    roles = {upstream.role for upstream in pool.upstreams}
    if not pool.models:
        yield columns.make_error(
            "pools", pool.name, "models", "at least one model"
        )
    if model.UpstreamRole.SERVICE in roles:
        yield columns.make_error(
            "pools",
            pool.name,
            "upstreams",
            "roles prefill, decode or both in a model pool",
        )
    for role in (model.UpstreamRole.PREFILL, model.UpstreamRole.DECODE):
        if not roles & {role, model.UpstreamRole.BOTH}:
            yield columns.make_error(
                "pools",
                pool.name,
                "upstreams",
                f"an upstream for {role.value}",
            )


def _check_plain_pool(pool: model.Pool) -> Problems:
    roles = {upstream.role for upstream in pool.upstreams}
    if roles != {model.UpstreamRole.SERVICE}:
        yield columns.make_error(
            "pools",
            pool.name,
            "upstreams",
            "at least one upstream, all with role service, in a plain pool",
        )
    if pool.models:
        yield columns.make_error(
            "pools", pool.name, "models", "no models in a plain pool"
        )


def _check_addresses(pool: model.Pool) -> Problems:
    """Reject a server listed twice, which would get twice the load."""
    seen: dict[str, str] = {}
    for upstream in pool.upstreams:
        owner = seen.setdefault(upstream.address, upstream.name)
        if owner != upstream.name:
            yield columns.make_error(
                "pools",
                pool.name,
                f"upstreams.{upstream.name}.address",
                f"an address that upstream {owner} does not have",
            )


def _check_keys(tables: model.Tables) -> Problems:
    """Reject a key of two accounts; requests could run for the wrong one."""
    owners: dict[str, str] = {}
    for account in tables.accounts.values():
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                yield columns.make_error(
                    "accounts",
                    account.name,
                    "key_digests",
                    f"keys that account {owner} does not have",
                )
