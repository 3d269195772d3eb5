"""Events and actions of the platform's key-value service."""

from samphiregate.core.store._messages import CompareAndSwap
from samphiregate.core.store._messages import KeyChanged
from samphiregate.core.store._messages import ReadKey
from samphiregate.core.store._messages import StoreAnswered
from samphiregate.core.store._messages import StoreOutcome
from samphiregate.core.store._messages import WatchKey

__all__ = [
    "CompareAndSwap",
    "KeyChanged",
    "ReadKey",
    "StoreAnswered",
    "StoreOutcome",
    "WatchKey",
]
