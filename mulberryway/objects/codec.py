"""Encodes and decodes the platform's JSON."""

import json
import typing

from mulberryway.objects import base

__all__ = [
    "encode_body",
    "decode_event",
    "decode_list",
    "decode_object",
    "decode_vms",
]


def encode_body(body: dict[str, typing.Any]) -> bytes:
    """Return a request body as JSON bytes.

    :param body: JSON-compatible values
    """
    return json.dumps(body, separators=(",", ":")).encode()


def decode_object(kind: str, body: typing.Any) -> base.StoredObject:
    """Decode an object.

    :param kind: the plural kind
    :param body: JSON-compatible values
    :raises ValueError: if it is malformed; ``KeyError`` and ``TypeError`` as
        well
    """
    metadata = body["metadata"]
    return base.StoredObject(
        kind,
        metadata.get("name", ""),
        int(metadata["resourceVersion"]),
        body.get("value") or {},
    )


def decode_list(kind: str, body: typing.Any) -> list[base.StoredObject]:
    """Decode a list of objects.

    :param kind: the plural kind
    :param body: JSON-compatible values
    """
    return [decode_object(kind, item) for item in body["items"]]


def decode_event(kind: str, line: bytes) -> base.WatchEvent:
    """Decode one line of a watch.

    :param kind: the plural kind
    :param line: JSON
    """
    body = json.loads(line)
    return base.WatchEvent(
        base.EventType(body["type"]), decode_object(kind, body["object"])
    )


def decode_vms(body: typing.Any) -> list[base.ListedVm]:
    """Decode the list of VMs.

    :param body: JSON-compatible values
    """
    return [
        base.ListedVm(
            item["name"],
            item["address"],
            item["zone"],
            bool(item["leaving"]),
        )
        for item in body["items"]
    ]
