"""The event loop that carries running answers, so that no thread has to."""

from mulberryway.relay import loop
from mulberryway.relay import pump
from mulberryway.relay import stream
from mulberryway.relay import watch
from mulberryway.relay import writers

__all__ = [
    "CallerWatch",
    "CompletionWriter",
    "EventLoop",
    "EventWriter",
    "Relay",
    "ReplyHead",
    "Stream",
    "StreamOwner",
    "Watch",
    "Writer",
]

CallerWatch = watch.CallerWatch
CompletionWriter = writers.CompletionWriter
EventLoop = loop.EventLoop
EventWriter = writers.EventWriter
Relay = pump.Relay
ReplyHead = writers.ReplyHead
Stream = stream.Stream
StreamOwner = stream.StreamOwner
Watch = watch.Watch
Writer = writers.Writer
