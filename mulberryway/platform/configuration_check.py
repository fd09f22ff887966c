"""Checks a configuration before the operator sends it."""

import collections
import collections.abc
import itertools
import typing

from mulberryway import tables as model
from mulberryway.objects import base
from mulberryway.platform import configuration_fields as fields
from mulberryway.platform import findings
from mulberryway.platform import tables
from mulberryway.policy import ranks

__all__ = ["check_configuration", "list_differences"]

SHOWN_DIGITS = 8
SECTIONS = ("routes", "services", "tenants")
# Differ in each version by themselves.
UNCOMPARED = frozenset(("version", *SECTIONS))

Value = dict[str, typing.Any]
Findings = collections.abc.Iterator[findings.Finding]


def check_configuration(value: typing.Any) -> list[findings.Finding]:
    """Check a configuration as the operator writes it.

    :param value: the JSON value
    :returns: errors and warnings, errors first
    """
    if not isinstance(value, dict):
        return [_make_error("configuration", "expected an object")]
    found = list(_check_structure(value))
    if not found:
        found += _check_decoding(value)
    found += itertools.chain(
        _check_names(value),
        _check_references(value),
        _check_keys(value),
        _check_matches(value),
        _check_routes(value),
        _check_accounts(value),
        _check_limits(value),
    )
    return sorted(found, key=lambda finding: -finding.severity)


def list_differences(
    value: typing.Any, in_force: typing.Any
) -> list[findings.Finding]:
    """Return what a configuration changes, without showing any key.

    :param value: the JSON value of the configuration
    :param in_force: the JSON value of the one in force
    """
    if not (isinstance(value, dict) and isinstance(in_force, dict)):
        return []
    found = list(_compare_versions(value, in_force))
    for section in SECTIONS:
        found += _compare_rows(
            {row.path: row.value for row in fields.list_rows(value, section)},
            {
                row.path: row.value
                for row in fields.list_rows(in_force, section)
            },
        )
    rest, rest_in_force = (
        {key: item for key, item in side.items() if key not in UNCOMPARED}
        for side in (value, in_force)
    )
    return found + list(_compare_fields("", rest, rest_in_force))


def _make_error(path: str, message: str) -> findings.Finding:
    return findings.Finding(findings.Severity.ERROR, path, message)


def _make_warning(path: str, message: str) -> findings.Finding:
    return findings.Finding(findings.Severity.WARNING, path, message)


def _make_change(path: str, message: str) -> findings.Finding:
    return findings.Finding(findings.Severity.CHANGE, path, message)


def _check_structure(value: Value) -> Findings:
    if type(value.get("version")) is not int or value["version"] < 1:
        yield _make_error("version", "expected an integer of at least 1")
    for section in SECTIONS:
        rows = value.get(section)
        if rows is None and section == "tenants":
            continue
        if not isinstance(rows, list):
            yield _make_error(section, "expected a list")
            continue
        for index, row in enumerate(rows):
            if not isinstance(row, dict):
                yield _make_error(f"{section}.{index}", "expected an object")
        for row in fields.list_rows(value, section):
            yield from fields.check_fields(row, section)
    for route in fields.list_rows(value, "routes"):
        for share in fields.list_rows(
            route.value, "traffic_split", route.path
        ):
            yield from fields.check_fields(share, "traffic_split")
    for service in fields.list_rows(value, "services"):
        yield from _check_section(service.value, "engine", service.path)
    yield from _check_section(value, "limits")


def _check_section(value: Value, name: str, parent: str = "") -> Findings:
    section = value.get(name)
    path = f"{parent}.{name}" if parent else name
    if isinstance(section, dict):
        yield from fields.check_fields(fields.Row(path, section), name)
    elif section is not None:
        yield _make_error(path, "expected an object")


def _check_decoding(value: Value) -> Findings:
    """Ask the decoder of VMs itself, which may be stricter."""
    stored = base.StoredObject(tables.CONFIGURATION_KIND, "main", 1, value)
    try:
        tables.TablesReader().read({"main": stored}, (), 1)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        yield _make_error(
            "configuration", f"VMs cannot decode it: {error!r:.200}"
        )


def _check_names(value: Value) -> Findings:
    for section in SECTIONS:
        names = (
            row.value.get("name") for row in fields.list_rows(value, section)
        )
        for name in fields.find_duplicates(names):
            yield _make_error(f"{section}.{name}", "the name is not unique")


def _list_services(row: Value) -> list[str]:
    """Return the services that a route names and sends requests to."""
    shares = [
        _get_name(share.value, "service")
        for share in fields.list_rows(row, "traffic_split")
        if share.value.get("weight")
    ]
    return shares or [_get_name(row, "service")]


def _check_references(value: Value) -> Findings:
    routes = fields.list_rows(value, "routes")
    known = {
        _get_name(row.value, "name")
        for row in fields.list_rows(value, "services")
    }
    for route in routes:
        if _get_name(route.value, "service") not in known:
            yield _make_error(f"{route.path}.service", "is no service")
        shares = fields.list_rows(route.value, "traffic_split", route.path)
        for share in shares:
            if _get_name(share.value, "service") not in known:
                yield _make_error(share.path, "is no service")
            if share.value.get("weight") == 0:
                yield _make_warning(share.path, "weight 0 gets no request")
        if shares and not any(share.value.get("weight") for share in shares):
            yield _make_error(
                f"{route.path}.traffic_split", "all weights are 0"
            )
        services = [share.value.get("service") for share in shares]
        for name in fields.find_duplicates(services):
            yield _make_error(
                f"{route.path}.traffic_split.{name}", "stands there twice"
            )
    used = set(
        itertools.chain.from_iterable(
            _list_services(route.value) for route in routes
        )
    )
    for service in fields.list_rows(value, "services"):
        if _get_name(service.value, "name") not in used:
            yield _make_warning(service.path, "no route sends requests to it")


def _check_keys(value: Value) -> Findings:
    holders = collections.defaultdict(list)
    for account in fields.list_rows(value, "tenants"):
        keys = account.value.get("api_keys")
        if not isinstance(keys, list):
            continue
        if not keys:
            yield _make_warning(f"{account.path}.api_keys", "it has no key")
        for key in keys:
            if isinstance(key, str):
                holders[key].append(account.path)
    for key, paths in holders.items():
        if len(paths) > 1:
            yield _make_error(
                f"{paths[-1]}.api_keys",
                f"key {_shorten(key)} stands also in {paths[0]}",
            )


def _shorten(key: str) -> str:
    return model.digest_key(key)[:SHOWN_DIGITS]


def _check_matches(value: Value) -> Findings:
    first: dict[tuple[str, str], str] = {}
    for route in fields.list_rows(value, "routes"):
        host, prefix = (
            route.value.get(name) for name in ("host", "path_prefix")
        )
        if not (isinstance(host, str) and isinstance(prefix, str)):
            continue
        path = first.setdefault((host.lower(), prefix), route.path)
        if path != route.path:
            yield _make_error(
                route.path, f"never matches: {path} has its host and prefix"
            )


def _get_name(row: Value, name: str) -> str:
    """Return a string, or an empty one for what was reported already."""
    value = row.get(name)
    return value if isinstance(value, str) else ""


def _get_number(row: Value, name: str) -> float:
    value = row.get(name)
    return value if type(value) in (int, float) else 0


def _check_routes(value: Value) -> Findings:
    for route in fields.list_rows(value, "routes"):
        row = route.value
        is_streaming = row.get("kind") == "streaming"
        timeout_ms = _get_number(row, "timeout_ms")
        yield from _check_rank(route)
        if timeout_ms and _get_number(row, "target_latency_ms") > timeout_ms:
            yield _make_error(
                f"{route.path}.timeout_ms",
                "a request is given up before its target_latency_ms",
            )
        may_run_again = (
            bool(row.get("resumable"))
            if is_streaming
            else row.get("kind") == "idempotent"
        )
        if _get_number(row, "max_attempts") > 1 and not may_run_again:
            yield _make_warning(
                f"{route.path}.max_attempts",
                "it may run once only: just those that a server has refused "
                "go to another one",
            )
        if row.get("resumable") and not is_streaming:
            yield _make_warning(
                f"{route.path}.resumable", "only streams are resumed"
            )
        if _get_number(row, "target_gap_ms") and not is_streaming:
            yield _make_warning(
                f"{route.path}.target_gap_ms", "only streams have events"
            )


def _check_rank(row: fields.Row) -> Findings:
    if _get_number(row.value, "priority") > ranks.LOWEST_RANK:
        yield _make_warning(
            f"{row.path}.priority", f"counts as {ranks.LOWEST_RANK}"
        )


def _check_limits(value: Value) -> Findings:
    limits = value.get("limits")
    if not isinstance(limits, dict):
        return
    header_ms, idle_ms = (
        _get_number(limits, name) for name in ("header_ms", "idle_ms")
    )
    if 0 < idle_ms < header_ms:
        yield _make_warning(
            "limits.header_ms", "is above idle_ms, which ends the wait before"
        )


def _check_accounts(value: Value) -> Findings:
    for account in fields.list_rows(value, "tenants"):
        rate, burst, plain = (
            _get_number(account.value, name)
            for name in ("rate_per_s", "burst", "plain_tokens")
        )
        if burst and not rate:
            yield _make_warning(
                f"{account.path}.burst", "without rate_per_s there is no limit"
            )
        if rate and not burst:
            yield _make_warning(
                f"{account.path}.burst", "no request fits a burst of 0"
            )
        elif rate and burst < plain:
            yield _make_error(
                f"{account.path}.burst",
                f"is below one plain request, {plain:g} tokens",
            )
        yield from _check_rank(account)


def _compare_versions(value: Value, in_force: Value) -> Findings:
    versions = value.get("version"), in_force.get("version")
    if not all(type(version) is int for version in versions):
        return
    if versions[0] <= versions[1]:
        yield _make_error(
            "version", f"is not above {versions[1]}, the one in force"
        )


def _compare_rows(
    rows: dict[str, Value], in_force: dict[str, Value]
) -> Findings:
    for path in in_force:
        if path not in rows:
            yield _make_change(path, "removed")
    for path, row in rows.items():
        if path not in in_force:
            yield _make_change(path, "added")
        else:
            yield from _compare_fields(path, row, in_force[path])


def _compare_fields(path: str, row: Value, in_force: Value) -> Findings:
    for name in sorted(row.keys() | in_force.keys()):
        old, new = in_force.get(name), row.get(name)
        if old == new:
            continue
        field_path = f"{path}.{name}" if path else name
        if name == "api_keys":
            yield from _compare_keys(field_path, new, old)
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from _compare_fields(field_path, new, old)
        else:
            yield _make_change(field_path, f"{old!r:.80} -> {new!r:.80}")


def _compare_keys(path: str, new: typing.Any, old: typing.Any) -> Findings:
    new_keys, old_keys = (
        {key for key in keys if isinstance(key, str)}
        if isinstance(keys, list)
        else set()
        for keys in (new, old)
    )
    for keys, message in (
        (old_keys - new_keys, "removed"),
        (new_keys - old_keys, "added"),
    ):
        for digest in sorted(map(_shorten, keys)):
            yield _make_change(path, f"key {digest} {message}")
