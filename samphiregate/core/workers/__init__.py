"""Owners of workers: bookings, leases and commands."""

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

__all__ = [
    "CheckpointTask",
    "Command",
    "ExchangeWithWorker",
    "ForgetTask",
    "StartTask",
    "StopTask",
    "TaskReport",
    "ThrottleTask",
    "WorkerAnswered",
    "WorkerReport",
    "WorkerTaskState",
    "WorkerUnreachable",
]
