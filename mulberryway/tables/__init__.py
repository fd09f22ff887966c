"""The tables of routes, pools and client accounts, and their join."""

from mulberryway.tables import model
from mulberryway.tables import source

__all__ = [
    "ANYBODY",
    "ClientAccount",
    "Pool",
    "PoolKind",
    "PoolShare",
    "Route",
    "TableSource",
    "Tables",
    "Upstream",
    "UpstreamRole",
    "digest_key",
]

ANYBODY = model.ANYBODY
ClientAccount = model.ClientAccount
Pool = model.Pool
PoolKind = model.PoolKind
PoolShare = model.PoolShare
Route = model.Route
TableSource = source.TableSource
Tables = model.Tables
Upstream = model.Upstream
UpstreamRole = model.UpstreamRole
digest_key = model.digest_key
