"""Cells: groups of endpoints and jobs that one entry VM owns at a time."""

from samphiregate.core.cells._cell import Cell
from samphiregate.core.cells._delay_scheduling import DEFAULT_MAX_PLACE_WAIT_MS
from samphiregate.core.cells._inheritance import EpochHistory
from samphiregate.core.cells._inheritance import SilentRecord
from samphiregate.core.cells._leases import DEFAULT_MAX_HOLD_MS
from samphiregate.core.cells._leases import max_lease_ms
from samphiregate.core.cells._messages import AccountsChanged
from samphiregate.core.cells._messages import CancellationRemoved
from samphiregate.core.cells._messages import DataCentresDrained
from samphiregate.core.cells._messages import EndedRow
from samphiregate.core.cells._messages import EndpointDeregistered
from samphiregate.core.cells._messages import EndpointPolled
from samphiregate.core.cells._messages import EndpointRegistered
from samphiregate.core.cells._messages import EndReason
from samphiregate.core.cells._messages import JobCancelled
from samphiregate.core.cells._messages import JobRemoved
from samphiregate.core.cells._messages import JobStored
from samphiregate.core.cells._messages import LogDecision
from samphiregate.core.cells._messages import PolicyAnswered
from samphiregate.core.cells._messages import PolicyQueryFailed
from samphiregate.core.cells._messages import PollEndpoint
from samphiregate.core.cells._messages import PollFailed
from samphiregate.core.cells._messages import QueryPolicy
from samphiregate.core.cells._messages import RecordDelayed
from samphiregate.core.cells._messages import RecordRefused
from samphiregate.core.cells._messages import RecordsStored
from samphiregate.core.cells._messages import RunningRow
from samphiregate.core.cells._messages import SilentRecordStored
from samphiregate.core.cells._messages import StartAnswered
from samphiregate.core.cells._messages import StartOutcome
from samphiregate.core.cells._messages import StartResult
from samphiregate.core.cells._messages import StartTask
from samphiregate.core.cells._messages import StepDown
from samphiregate.core.cells._messages import StopAnswered
from samphiregate.core.cells._messages import StopTask
from samphiregate.core.cells._peer_messages import AdviceIs
from samphiregate.core.cells._peer_messages import AskInstance
from samphiregate.core.cells._peer_messages import AskJobState
from samphiregate.core.cells._peer_messages import AskWaiting
from samphiregate.core.cells._peer_messages import DrainWasRequested
from samphiregate.core.cells._peer_messages import InstanceIs
from samphiregate.core.cells._peer_messages import ItemIs
from samphiregate.core.cells._peer_messages import JobStateIs
from samphiregate.core.cells._peer_messages import JobWasCancelled
from samphiregate.core.cells._peer_messages import JobWasStored
from samphiregate.core.cells._peer_messages import NoticeTaken
from samphiregate.core.cells._peer_messages import NotMine
from samphiregate.core.cells._peer_messages import RelayAdvice
from samphiregate.core.cells._peer_messages import RelayRead
from samphiregate.core.cells._peer_messages import RelayWrite
from samphiregate.core.cells._peer_messages import WaitingIs
from samphiregate.core.cells._peer_messages import WriteWas
from samphiregate.core.cells._record_limits import DEFAULT_MAX_VALUE_BYTES
from samphiregate.core.cells._record_limits import RecordLimits
from samphiregate.core.cells._records import decode
from samphiregate.core.cells._records import encode
from samphiregate.core.cells._records import JobRecord
from samphiregate.core.cells._records import StageRecord
from samphiregate.core.cells._records import StoredRow
from samphiregate.core.cells._store_availability import StoreAvailability
from samphiregate.core.cells._token_bucket import TokenBucket
from samphiregate.core.cells._work import Account
from samphiregate.core.cells._work import Job
from samphiregate.core.cells._work import JobState
from samphiregate.core.cells._work import PolicyTimings
from samphiregate.core.cells._work import Queue
from samphiregate.core.cells._work import Resources
from samphiregate.core.cells._work import Schedule
from samphiregate.core.cells._work import Step
from samphiregate.core.cells._work import TaskId

__all__ = [
    "DEFAULT_MAX_HOLD_MS",
    "DEFAULT_MAX_PLACE_WAIT_MS",
    "DEFAULT_MAX_VALUE_BYTES",
    "Account",
    "AccountsChanged",
    "AdviceIs",
    "AskInstance",
    "AskJobState",
    "AskWaiting",
    "CancellationRemoved",
    "Cell",
    "DataCentresDrained",
    "decode",
    "DrainWasRequested",
    "encode",
    "EndedRow",
    "EndpointDeregistered",
    "EndpointPolled",
    "EndpointRegistered",
    "EndReason",
    "EpochHistory",
    "InstanceIs",
    "ItemIs",
    "Job",
    "JobCancelled",
    "JobRecord",
    "JobRemoved",
    "JobState",
    "JobStateIs",
    "JobStored",
    "JobWasCancelled",
    "JobWasStored",
    "LogDecision",
    "max_lease_ms",
    "NoticeTaken",
    "NotMine",
    "PolicyAnswered",
    "PolicyQueryFailed",
    "PolicyTimings",
    "PollEndpoint",
    "PollFailed",
    "QueryPolicy",
    "Queue",
    "RecordDelayed",
    "RecordLimits",
    "RecordRefused",
    "RecordsStored",
    "RelayAdvice",
    "RelayRead",
    "RelayWrite",
    "Resources",
    "RunningRow",
    "Schedule",
    "SilentRecord",
    "SilentRecordStored",
    "StageRecord",
    "StartAnswered",
    "StartOutcome",
    "StartResult",
    "StartTask",
    "Step",
    "StepDown",
    "StopAnswered",
    "StopTask",
    "StoredRow",
    "StoreAvailability",
    "TaskId",
    "TokenBucket",
    "WaitingIs",
    "WriteWas",
]
