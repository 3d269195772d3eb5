"""Callers' requests: admission, attempts, retries, and runners' slots."""

from samphiregate.core.requests._admission import admit
from samphiregate.core.requests._admission import Admitted
from samphiregate.core.requests._edge import RequestEdge
from samphiregate.core.requests._load import LoadChanged
from samphiregate.core.requests._load import LoadSummary
from samphiregate.core.requests._load import ServiceLoad
from samphiregate.core.requests._load import VmLoad
from samphiregate.core.requests._messages import AnswerCaller
from samphiregate.core.requests._messages import BINARY_TYPE
from samphiregate.core.requests._messages import CallerDisconnected
from samphiregate.core.requests._messages import DispatchRequest
from samphiregate.core.requests._messages import JSON_TYPE
from samphiregate.core.requests._messages import ProbeRunner
from samphiregate.core.requests._messages import Refusal
from samphiregate.core.requests._messages import RequestArrived
from samphiregate.core.requests._messages import RequestFinished
from samphiregate.core.requests._messages import RequestRefused
from samphiregate.core.requests._messages import RunnerAnswered
from samphiregate.core.requests._messages import RunnerFailed
from samphiregate.core.requests._messages import RunnerProbed
from samphiregate.core.requests._messages import SendToRunner
from samphiregate.core.requests._messages import WithdrawRequest
from samphiregate.core.requests._owner import RunnerOwner

__all__ = [
    "Admitted",
    "AnswerCaller",
    "BINARY_TYPE",
    "CallerDisconnected",
    "DispatchRequest",
    "JSON_TYPE",
    "LoadChanged",
    "LoadSummary",
    "ProbeRunner",
    "Refusal",
    "RequestArrived",
    "RequestEdge",
    "RequestFinished",
    "RequestRefused",
    "RunnerAnswered",
    "RunnerFailed",
    "RunnerOwner",
    "RunnerProbed",
    "SendToRunner",
    "ServiceLoad",
    "VmLoad",
    "WithdrawRequest",
    "admit",
]
