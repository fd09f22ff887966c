"""Authenticated calls and datagrams between the system's processes."""

from mulberryway.peers import client
from mulberryway.peers import server
from mulberryway.peers import traffic

__all__ = ["PeerClient", "PeerServer", "Traffic", "TrafficCount"]

PeerClient = client.PeerClient
PeerServer = server.PeerServer
Traffic = traffic.Traffic
TrafficCount = traffic.TrafficCount
