"""Data types shared by all modules."""

from samphiregate.core.model._configuration import Configuration
from samphiregate.core.model._configuration import KeyRecord
from samphiregate.core.model._configuration import Plan
from samphiregate.core.model._configuration import Queue
from samphiregate.core.model._configuration import Team
from samphiregate.core.model._fleet import EntryVmInfo
from samphiregate.core.model._fleet import RunnerInfo
from samphiregate.core.model._fleet import WorkerInfo
from samphiregate.core.model._ids import shard_of
from samphiregate.core.model._ids import ShardId
from samphiregate.core.model._ratio_histogram import RatioHistogram
from samphiregate.core.model._resources import Resources
from samphiregate.core.model._work import AttemptOutcome
from samphiregate.core.model._work import JobSpec
from samphiregate.core.model._work import JobState
from samphiregate.core.model._work import TaskId
from samphiregate.core.model._work import TaskState
from samphiregate.core.model._work import WorkClass

__all__ = [
    "AttemptOutcome",
    "Configuration",
    "EntryVmInfo",
    "JobSpec",
    "JobState",
    "KeyRecord",
    "Plan",
    "Queue",
    "RatioHistogram",
    "Resources",
    "RunnerInfo",
    "ShardId",
    "TaskId",
    "TaskState",
    "Team",
    "WorkClass",
    "WorkerInfo",
    "shard_of",
]
