"""Sample tables for tests."""

from mulberryway import tables
from mulberryway.tables import parse

digest = tables.digest_key

TABLES = f"""
[routes.lm]
path_prefix = "/v1/completions"
pool = "lm-pool"
models = ["m1"]
idempotent = true

[routes.member]
path_prefix = "/member"
pool = "member-api"
accounts = ["tea"]

[pools.lm-pool]
kind = "model"
models = ["m1"]
credential = "upstream-secret"
[pools.lm-pool.upstreams.p1]
address = "127.0.0.1:9"
zone = "kandy-a"
role = "prefill"
[pools.lm-pool.upstreams.d1]
address = "127.0.0.1:10"
zone = "matale-b"
role = "decode"

[pools.member-api]
kind = "plain"
[pools.member-api.upstreams.s1]
address = "127.0.0.1:11"
zone = "kandy-a"
role = "service"

[accounts.tea]
key_digests = ["{digest("tea-key")}"]
rate = 900
burst = 9000

[accounts.other]
key_digests = ["{digest("other-key")}"]
rate = 100
burst = 1000
"""


def make_tables(revision=0):
    """Return the sample tables."""
    return parse.parse_tables(TABLES, revision).ok
