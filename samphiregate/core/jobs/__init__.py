"""Job owners: admission, queueing, task lifecycle and replication."""

from samphiregate.core.jobs._messages import CancelJob
from samphiregate.core.jobs._messages import JobAnswer
from samphiregate.core.jobs._messages import JobView
from samphiregate.core.jobs._messages import ListJobs
from samphiregate.core.jobs._messages import ShowJob
from samphiregate.core.jobs._messages import SubmitJob
from samphiregate.core.jobs._messages import TaskFinished
from samphiregate.core.jobs._messages import TaskStarted
from samphiregate.core.jobs._owner import JobOwner

__all__ = [
    "CancelJob",
    "JobAnswer",
    "JobOwner",
    "JobView",
    "ListJobs",
    "ShowJob",
    "SubmitJob",
    "TaskFinished",
    "TaskStarted",
]
