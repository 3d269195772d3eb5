"""Worker owners: bookings, leases and commands to workers."""

from samphiregate.core.workers._messages import CheckpointTask
from samphiregate.core.workers._messages import Command
from samphiregate.core.workers._messages import ExchangeWithWorker
from samphiregate.core.workers._messages import ForgetTask
from samphiregate.core.workers._messages import StartTask
from samphiregate.core.workers._messages import StopTask
from samphiregate.core.workers._messages import TaskReport
from samphiregate.core.workers._messages import ThrottleTask
from samphiregate.core.workers._messages import WorkerAnswered
from samphiregate.core.workers._messages import WorkerReport
from samphiregate.core.workers._messages import WorkerTaskState
from samphiregate.core.workers._messages import WorkerUnreachable
from samphiregate.core.workers._owner import WorkerOwner
from samphiregate.core.workers._peer import AskForTasks
from samphiregate.core.workers._peer import attempt_number
from samphiregate.core.workers._peer import AttemptId
from samphiregate.core.workers._peer import epoch_of
from samphiregate.core.workers._peer import GangReserved
from samphiregate.core.workers._peer import ReleaseGang
from samphiregate.core.workers._peer import ReserveGang
from samphiregate.core.workers._peer import RoomSummary
from samphiregate.core.workers._peer import TaskNews
from samphiregate.core.workers._peer import TaskNewsBatch
from samphiregate.core.workers._peer import TaskOrder
from samphiregate.core.workers._peer import TaskOrders
from samphiregate.core.workers._peer import TaskPhase
from samphiregate.core.workers._peer import TaskReason
from samphiregate.core.workers._peer import TasksOfShard
from samphiregate.core.workers._peer import TaskStop
from samphiregate.core.workers._peer import TeamUsage
from samphiregate.core.workers._peer import WorkerShard
from samphiregate.core.workers._peer import WorkersReleased

__all__ = [
    "AskForTasks",
    "AttemptId",
    "CheckpointTask",
    "Command",
    "ExchangeWithWorker",
    "ForgetTask",
    "GangReserved",
    "ReleaseGang",
    "ReserveGang",
    "RoomSummary",
    "StartTask",
    "StopTask",
    "TaskNews",
    "TaskNewsBatch",
    "TaskOrder",
    "TaskOrders",
    "TaskPhase",
    "TaskReason",
    "TaskReport",
    "TaskStop",
    "TasksOfShard",
    "TeamUsage",
    "ThrottleTask",
    "WorkerAnswered",
    "WorkerOwner",
    "WorkerReport",
    "WorkerShard",
    "WorkerTaskState",
    "WorkerUnreachable",
    "WorkersReleased",
    "attempt_number",
    "epoch_of",
]
