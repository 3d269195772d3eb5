"""Policies that choose which queued item starts next."""

from samphiregate.core.queueing._fair_share import FairShareQueue
from samphiregate.core.queueing._first_come import FirstComeQueue
from samphiregate.core.queueing._make import make_queue
from samphiregate.core.queueing._make import QUEUES_BY_NAME
from samphiregate.core.queueing._messages import CapacityChanged
from samphiregate.core.queueing._messages import ItemEnded
from samphiregate.core.queueing._messages import ItemQueued
from samphiregate.core.queueing._messages import ItemRemoved
from samphiregate.core.queueing._messages import ItemStarted
from samphiregate.core.queueing._messages import ItemToShed
from samphiregate.core.queueing._messages import NextItem
from samphiregate.core.queueing._messages import QueuedItem
from samphiregate.core.queueing._messages import RemoteUsageChanged
from samphiregate.core.queueing._messages import WeightsChanged
from samphiregate.core.queueing._strict_priority import StrictPriorityQueue

__all__ = [
    "CapacityChanged",
    "FairShareQueue",
    "FirstComeQueue",
    "ItemEnded",
    "ItemQueued",
    "ItemRemoved",
    "ItemStarted",
    "ItemToShed",
    "NextItem",
    "QUEUES_BY_NAME",
    "QueuedItem",
    "RemoteUsageChanged",
    "StrictPriorityQueue",
    "WeightsChanged",
    "make_queue",
]
