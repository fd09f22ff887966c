"""Tables of routes, pools and client accounts, and their validation."""

from mulberryway.tables import model
from mulberryway.tables import source

__all__ = [
    "ANONYMOUS_ACCOUNT",
    "ClientAccount",
    "Pool",
    "PoolKind",
    "WeightedPool",
    "Route",
    "TableSource",
    "Tables",
    "Upstream",
    "UpstreamRole",
    "digest_key",
]

ANONYMOUS_ACCOUNT = model.ANONYMOUS_ACCOUNT
ClientAccount = model.ClientAccount
Pool = model.Pool
PoolKind = model.PoolKind
WeightedPool = model.WeightedPool
Route = model.Route
TableSource = source.TableSource
Tables = model.Tables
Upstream = model.Upstream
UpstreamRole = model.UpstreamRole
digest_key = model.digest_key
