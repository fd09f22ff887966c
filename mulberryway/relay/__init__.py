"""Event loop that forwards token streams without a thread per stream."""

from mulberryway.relay import loop
from mulberryway.relay import pump
from mulberryway.relay import stream
from mulberryway.relay import watch
from mulberryway.relay import writers

__all__ = [
    "DisconnectMonitor",
    "CompletionWriter",
    "EventLoop",
    "EventWriter",
    "Relay",
    "ReplyHead",
    "Stream",
    "StreamOwner",
    "DisconnectWatch",
    "Writer",
]

DisconnectMonitor = watch.DisconnectMonitor
CompletionWriter = writers.CompletionWriter
EventLoop = loop.EventLoop
EventWriter = writers.EventWriter
Relay = pump.Relay
ReplyHead = writers.ReplyHead
Stream = stream.Stream
StreamOwner = stream.StreamOwner
DisconnectWatch = watch.DisconnectWatch
Writer = writers.Writer
