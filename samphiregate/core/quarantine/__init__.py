"""Workers that fail what they start, and jobs that fail everywhere."""

from samphiregate.core.quarantine._judge import QuarantinePolicy
from samphiregate.core.quarantine._messages import JobRemoved
from samphiregate.core.quarantine._messages import MayRetryJob
from samphiregate.core.quarantine._messages import MayUseWorker
from samphiregate.core.quarantine._messages import TaskStarting
from samphiregate.core.quarantine._messages import TaskEnded
from samphiregate.core.quarantine._messages import WorkerRemoved

__all__ = [
    "QuarantinePolicy",
    "JobRemoved",
    "MayRetryJob",
    "MayUseWorker",
    "TaskStarting",
    "TaskEnded",
    "WorkerRemoved",
]
