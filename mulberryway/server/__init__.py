"""HTTP server for callers, built on cheroot."""

from mulberryway.server import gateway
from mulberryway.server import http_server

__all__ = ["GatewayFactory", "HttpServer"]

GatewayFactory = gateway.GatewayFactory
HttpServer = http_server.HttpServer
