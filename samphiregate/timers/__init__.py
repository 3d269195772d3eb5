"""One timer service that every part subscribes to."""

from samphiregate.timers._service import monotonic_ms
from samphiregate.timers._service import Subscription
from samphiregate.timers._service import TimerService

__all__ = ["Subscription", "TimerService", "monotonic_ms"]
