"""Checks the fields of a configuration's rows, each row by itself."""

import collections
import collections.abc
import typing

from mulberryway.platform import findings
from mulberryway.platform import wire

__all__ = ["Row", "check_fields", "find_duplicates", "list_rows"]

Value = dict[str, typing.Any]
Check = collections.abc.Callable[[typing.Any], typing.Any]

KINDS = ("streaming", "idempotent", "non_idempotent")


class Row(typing.NamedTuple):
    """A row of a list and the path to it."""

    path: str
    value: Value


def _check_count(value: typing.Any) -> None:
    wire.parse_integer(value)


def _check_positive(value: typing.Any) -> None:
    wire.parse_integer(value, 1)


def _check_amount(value: typing.Any) -> None:
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise ValueError("expected a number of at least 0")


def _check_flag(value: typing.Any) -> None:
    if not isinstance(value, bool):
        raise ValueError("expected true or false")


def _check_kind(value: typing.Any) -> None:
    if value not in KINDS:
        raise ValueError(f"expected one of {', '.join(KINDS)}")


def _check_prefix(value: typing.Any) -> None:
    prefix = wire.parse_string(value)
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("expected a prefix that begins and ends with /")


def _check_path(value: typing.Any) -> None:
    if not wire.parse_string(value).startswith("/"):
        raise ValueError("expected a path that begins with /")


def _check_list(value: typing.Any) -> None:
    if not isinstance(value, list):
        raise ValueError("expected a list")


def _check_keys(value: typing.Any) -> None:
    _check_list(value)
    for key in value:
        if not isinstance(key, str) or not key:
            # The key itself must not be printed.
            raise ValueError("expected a list of non-empty strings")


def _check_models(value: typing.Any) -> None:
    _check_list(value)
    if not value:
        raise ValueError("expected at least one model")
    for model in value:
        if not isinstance(model, dict):
            raise ValueError("expected objects with a name")
        wire.parse_string(model.get("name"))


REQUIRED: dict[str, dict[str, Check]] = {
    "routes": {
        "name": wire.parse_string,
        "host": wire.parse_string,
        "path_prefix": _check_prefix,
        "kind": _check_kind,
        "service": wire.parse_string,
        "timeout_ms": _check_positive,
    },
    "traffic_split": {
        "service": wire.parse_string,
        "weight": _check_count,
    },
    "services": {"name": wire.parse_string},
    "engine": {
        "slots": _check_positive,
        "kv_capacity": _check_positive,
        "kv_bytes": _check_count,
        "link_mbps": _check_amount,
        "models": _check_models,
    },
    "tenants": {"name": wire.parse_string, "api_keys": _check_keys},
    "limits": {},
}
OPTIONAL: dict[str, dict[str, Check]] = {
    "routes": {
        "max_attempts": _check_positive,
        "target_latency_ms": _check_count,
        "target_gap_ms": _check_count,
        "priority": _check_count,
        "resumable": _check_flag,
        "public": _check_flag,
        "traffic_split": _check_list,
    },
    "traffic_split": {},
    "services": {
        "health_path": _check_path,
        "max_conns": _check_count,
        "cold_s": _check_amount,
        "cold_per_s": _check_amount,
    },
    "engine": {
        "swap_s": _check_amount,
        "hold_ms": _check_amount,
        "handle_ttl_s": _check_amount,
    },
    "tenants": {
        "rate_per_s": _check_count,
        "burst": _check_count,
        "plain_tokens": _check_count,
        "priority": _check_count,
    },
    "limits": {
        "header_bytes": _check_positive,
        "body_bytes": _check_positive,
        "header_ms": _check_positive,
        "idle_ms": _check_positive,
    },
}
# Null stands for an absent value in these.
NULLABLE = frozenset(
    (
        "target_gap_ms",
        "traffic_split",
        "rate_per_s",
        "burst",
        "plain_tokens",
        "priority",
        "resumable",
        "public",
    )
)


def list_rows(value: Value, section: str, parent: str = "") -> list[Row]:
    """Return the rows of a list that are objects.

    :param value: the object that holds the list
    :param section: the list's name
    :param parent: the path of the object; empty for the configuration
    """
    rows = value.get(section)
    path = f"{parent}.{section}" if parent else section
    if not isinstance(rows, list):
        return []
    return [
        Row(f"{path}.{_get_label(row, index)}", row)
        for index, row in enumerate(rows)
        if isinstance(row, dict)
    ]


def _get_label(row: Value, index: int) -> str | int:
    for key in ("name", "service"):
        if isinstance(row.get(key), str) and row[key]:
            label: str = row[key]
            return label
    return index


def check_fields(
    row: Row, section: str
) -> collections.abc.Iterator[findings.Finding]:
    """Yield what is wrong with the fields of a row, each by itself.

    :param row: the row
    :param section: the list that it stands in
    """
    for name in REQUIRED[section]:
        if name not in row.value:
            yield findings.Finding(
                findings.Severity.ERROR, f"{row.path}.{name}", "is missing"
            )
    known = REQUIRED[section] | OPTIONAL[section]
    for name, check in known.items():
        value = row.value.get(name)
        if name not in row.value or (value is None and name in NULLABLE):
            continue
        try:
            check(value)
        except (ValueError, TypeError) as error:
            yield findings.Finding(
                findings.Severity.ERROR, f"{row.path}.{name}", str(error)
            )


def find_duplicates(values: collections.abc.Iterable[typing.Any]) -> list[str]:
    """Return the strings that occur more than once, in order.

    :param values: the values; those that are no strings are left out
    """
    counts = collections.Counter(
        value for value in values if isinstance(value, str)
    )
    return [value for value, count in counts.items() if count > 1]
