"""Client of the platform's key-value service and of its fleet list."""

from samphiregate.adapters.platform._budget import CallBudget
from samphiregate.adapters.platform._calls import PlatformCalls
from samphiregate.adapters.platform._calls import StoreResult
from samphiregate.adapters.platform._client import PlatformClient

__all__ = ["CallBudget", "PlatformCalls", "PlatformClient", "StoreResult"]
