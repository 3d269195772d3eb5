"""Quarantine of failing workers, and detection of failing jobs."""

from samphiregate.core.quarantine._messages import JobRemoved
from samphiregate.core.quarantine._messages import MayRetryJob
from samphiregate.core.quarantine._messages import MayUseWorker
from samphiregate.core.quarantine._messages import TaskEnded
from samphiregate.core.quarantine._messages import TaskStarting
from samphiregate.core.quarantine._messages import WorkerRemoved
from samphiregate.core.quarantine._policy import QuarantinePolicy

__all__ = [
    "JobRemoved",
    "MayRetryJob",
    "MayUseWorker",
    "QuarantinePolicy",
    "TaskEnded",
    "TaskStarting",
    "WorkerRemoved",
]
