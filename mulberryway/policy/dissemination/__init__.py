"""Decides along which VMs hints travel to all VMs of a fleet.

A VM sends an item once to each availability zone, to a relay there, which
passes it on to the zone's other VMs together with what others have sent.  So
what a VM sends, and what crosses zones, does not grow with the fleet.  Any VM
may relay; none is set aside for it.  The state held here is which relays have
acknowledged what, and what this VM has yet to pass on.
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
