"""Builds responses to operators from the accepted state."""

import collections
import typing

from mulberryway import tables
from mulberryway.admin import responses
from mulberryway.tables import changes
from mulberryway.tables import parse

__all__ = [
    "KEY_DIGEST_DIGITS",
    "make_history_response",
    "make_status_response",
    "make_tables_response",
]

# Number of digits of a key's digest that identify the key.
KEY_DIGEST_DIGITS = 8


def make_tables_response(current: tables.Tables) -> responses.TablesResponse:
    """Return the tables without credentials.

    :param current: the tables
    """
    rows = parse.encode_tables(current)
    digests = {
        f"{table}.{name}": changes.digest_row(row)
        for table, by_name in rows.items()
        for name, row in by_name.items()
    }
    text = parse.format_rows(changes.hide_credentials(rows))
    return responses.TablesResponse(current.revision, text, digests)


def make_history_response(
    past: list[dict[str, typing.Any]],
) -> responses.HistoryResponse:
    """Return past edits with the fields that operators may see.

    :param past: the entries of the history, newest last
    """
    shown = ("revision", "edit_id", "operator", "wall_ms", "summary")
    return responses.HistoryResponse(
        [{key: entry[key] for key in shown} for entry in past]
    )


def make_status_response(
    current: tables.Tables, states: list[responses.VmState]
) -> responses.StatusResponse:
    """Return the state of VMs, pools and client accounts.

    :param current: the accepted tables
    :param states: each VM's state
    """
    pools = {
        name: {
            "kind": pool.kind.value,
            "models": list(pool.models),
            "upstreams": dict(
                collections.Counter(
                    upstream.role.value for upstream in pool.upstreams
                )
            ),
            "leaving": [
                upstream.name
                for upstream in pool.upstreams
                if upstream.leaving
            ],
        }
        for name, pool in current.pools.items()
    }
    accounts = {
        name: {
            "keys": [digest[:KEY_DIGEST_DIGITS] for digest in row.key_digests],
            "rate": row.rate,
            "burst": row.burst,
            "weight": row.weight,
        }
        for name, row in current.accounts.items()
    }
    return responses.StatusResponse(current.revision, states, pools, accounts)
