"""Disseminates gossip messages to all VMs of a fleet by way of relays.

A VM sends an item once to each availability zone, to a relay there, which
forwards it to the zone's other VMs together with items of other VMs. So the
traffic of a VM and between zones does not grow with the fleet. Any VM may
relay; none is dedicated to it. The state here is which relays have
acknowledged which items, and what this VM has yet to forward.
"""

from mulberryway.policy.dissemination import batch
from mulberryway.policy.dissemination import disseminator
from mulberryway.policy.dissemination import messages
from mulberryway.policy.dissemination import outbox
from mulberryway.policy.dissemination import relays

Disseminator = disseminator.Disseminator
Envelope = messages.Envelope
Kind = messages.Kind
Packet = messages.Packet
Receiver = messages.Receiver
RelayBatch = batch.RelayBatch
RelaySelector = relays.RelaySelector
ZoneOutbox = outbox.ZoneOutbox

__all__ = [
    "Disseminator",
    "Envelope",
    "Kind",
    "Packet",
    "Receiver",
    "RelayBatch",
    "RelaySelector",
    "ZoneOutbox",
]
