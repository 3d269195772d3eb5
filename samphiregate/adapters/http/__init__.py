"""HTTP servers and clients with the socket options the project needs."""

from samphiregate.adapters.http._admission import Admission
from samphiregate.adapters.http._admission import Reason
from samphiregate.adapters.http._bodies import BodyReader
from samphiregate.adapters.http._bounded import BoundedServer
from samphiregate.adapters.http._client import Answer
from samphiregate.adapters.http._client import Client
from samphiregate.adapters.http._clients import Clients
from samphiregate.adapters.http._draining import DrainingServer
from samphiregate.adapters.http._limits import process_limits
from samphiregate.adapters.http._limits import ProcessLimits
from samphiregate.adapters.http._limits import ServerLimits
from samphiregate.adapters.http._server import NoDelayServer

__all__ = [
    "Admission",
    "Answer",
    "BodyReader",
    "BoundedServer",
    "Client",
    "Clients",
    "DrainingServer",
    "NoDelayServer",
    "ProcessLimits",
    "Reason",
    "ServerLimits",
    "process_limits",
]
