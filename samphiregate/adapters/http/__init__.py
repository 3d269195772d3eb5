"""HTTP servers and clients with the socket options the project needs."""

from samphiregate.adapters.http._client import Answer
from samphiregate.adapters.http._client import Client
from samphiregate.adapters.http._clients import Clients
from samphiregate.adapters.http._draining import DrainingServer
from samphiregate.adapters.http._server import NoDelayServer

__all__ = ["Answer", "Client", "Clients", "DrainingServer", "NoDelayServer"]
