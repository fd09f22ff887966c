"""Formats responses of the administration API as text."""

import collections.abc
import datetime
import typing

__all__ = [
    "format_edit",
    "format_rollout",
    "format_history",
    "format_key",
    "format_diff",
    "format_status",
    "format_tables",
]

JsonObject = dict[str, typing.Any]
MS_IN_S = 1000


def format_tables(response: JsonObject) -> str:
    """Return the tables, after a line with the revision for ``apply``.

    :param response: the JSON object of the response
    """
    return f"# revision {response['revision']}\n{response['text']}"


def format_diff(response: JsonObject) -> str:
    """Return the differences, one per line.

    :param response: the JSON object of the response
    """
    return "\n".join(response["lines"] or ["no difference"])


def format_edit(response: JsonObject) -> str:
    """Return the revision and the id of an accepted edit.

    :param response: the JSON object of the response
    """
    return (
        f"accepted as revision {response['revision']}, "
        f"edit {response['edit_id']}"
    )


def format_key(response: JsonObject) -> str:
    """Return a new key and how to revoke it.

    :param response: the JSON object of the response
    """
    return (
        f"{response['key']}\n"
        f"shown only once; valid for {response['account']} from revision "
        f"{response['revision']} on; digits for withdraw-key: "
        f"{response['digest'][:8]}"
    )


def format_history(response: JsonObject) -> str:
    """Return past edits, one per line.

    :param response: the JSON object of the response
    """
    return _align(
        [
            (
                str(edit["revision"]),
                _format_time(edit["wall_ms"]),
                edit["operator"],
                edit["edit_id"],
                edit["summary"],
            )
            for edit in response["edits"]
        ]
    )


def format_rollout(response: JsonObject) -> str:
    """Return the progress of a revision and the state of each VM.

    :param response: the JSON object of the response
    """
    state = "in force" if response["is_in_force"] else "not yet in force"
    waiting = ", ".join(response["waiting_for"])
    head = f"revision {response['revision']}: {state}"
    if waiting:
        head += f"; waiting for {waiting}"
    return f"{head}\n{_format_vms(response['vms'])}"


def format_status(response: JsonObject) -> str:
    """Return the state of VMs, pools and client accounts.

    :param response: the JSON object of the response
    """
    pools = [
        (
            name,
            pool["kind"],
            " ".join(pool["models"]) or "-",
            " ".join(f"{k}={v}" for k, v in pool["upstreams"].items()),
            "leaving: " + (" ".join(pool["leaving"]) or "-"),
        )
        for name, pool in response["pools"].items()
    ]
    accounts = [
        (
            name,
            f"rate={row['rate']}",
            f"burst={row['burst']}",
            f"weight={row['weight']}",
            "keys: " + (" ".join(row["keys"]) or "-"),
        )
        for name, row in response["accounts"].items()
    ]
    return "\n".join(
        (
            f"accepted revision {response['revision']}",
            "\nVMs",
            _format_vms(response["vms"]),
            "\npools",
            _align(pools),
            "\nclient accounts",
            _align(accounts),
        )
    )


def _format_vms(vms: list[JsonObject]) -> str:
    return _align(
        [
            (
                vm["name"],
                vm["zone"],
                f"revision {vm['revision']}" if vm["is_reached"] else "-",
                f"confirmed {vm['age_ms']} ms ago"
                if vm["age_ms"] >= 0
                else "-",
                _format_vm_state(vm),
            )
            for vm in vms
        ]
    )


def _format_vm_state(vm: JsonObject) -> str:
    if not vm["is_reached"]:
        return "out of reach"
    return "serving" if vm["is_serving"] else "refusing"


def _format_time(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        wall_ms / MS_IN_S, datetime.timezone.utc
    )
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _align(rows: collections.abc.Sequence[tuple[str, ...]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
