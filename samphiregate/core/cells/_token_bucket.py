"""A token bucket, which limits how often something happens."""

import attrs


@attrs.define
class TokenBucket:
    """Holds up to a number of tokens, and is refilled at a rate.

    Parameters
    ----------
    per_s : float
        Tokens that are added in a second.
    max_tokens : float
        It begins with as many.
    updated_ms : int
        Time at which it was last refilled, in milliseconds.
    """

    per_s: float
    max_tokens: float
    updated_ms: int
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._tokens = self.max_tokens

    def try_consume(self, now_ms):
        """Takes a token if there is one; returns whether it did.

        A time before the last one counts as the last one.
        """
        elapsed_ms = max(now_ms - self.updated_ms, 0)
        refilled = self._tokens + self.per_s * elapsed_ms / 1000
        self._tokens = min(self.max_tokens, refilled)
        self.updated_ms += elapsed_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
