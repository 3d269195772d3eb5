"""Choice of an endpoint for each request, and detection of outliers."""

from samphiregate.core.routing._messages import AttemptEnded
from samphiregate.core.routing._messages import EndpointChanged
from samphiregate.core.routing._messages import EndpointRemoved
from samphiregate.core.routing._messages import PickEndpoint
from samphiregate.core.routing._messages import SlotsToOffer
from samphiregate.core.routing._outliers import OutlierDetector
from samphiregate.core.routing._policies import LeastLoaded
from samphiregate.core.routing._policies import make_router
from samphiregate.core.routing._policies import PowerOfTwo
from samphiregate.core.routing._policies import RoundRobin

__all__ = [
    "AttemptEnded",
    "EndpointChanged",
    "EndpointRemoved",
    "LeastLoaded",
    "OutlierDetector",
    "PickEndpoint",
    "PowerOfTwo",
    "RoundRobin",
    "SlotsToOffer",
    "make_router",
]
