"""Exceptions raised across the package."""

from samphiregate.errors import _codes


class SamphiregateError(Exception):
    """Base of every error of this package.

    Parameters
    ----------
    code : ErrorCode
        Stable code of the failure.
    detail : str
        One sentence for a person.
    ran : Ran
        Whether the work in question was executed.
    retry_after_ms : int or None
        When a retry is sensible, in milliseconds from now.
    """

    def __init__(
        self, code, detail, *, ran=_codes.Ran.NO, retry_after_ms=None
    ):
        super().__init__(f"{code.value}: {detail}")
        self.code = code
        self.detail = detail
        self.ran = ran
        self.retry_after_ms = retry_after_ms


class BadInputError(SamphiregateError):
    """Input that fails validation; nothing of it was applied."""

    def __init__(self, detail):
        super().__init__(_codes.ErrorCode.BAD_INPUT, detail)


class SettingError(SamphiregateError):
    """A flag or environment variable with an unusable value.

    Parameters
    ----------
    setting : str
        Name of the flag.
    detail : str
        What is wrong with its value.
    """

    def __init__(self, setting, detail):
        super().__init__(_codes.ErrorCode.SETTING, f"{setting}: {detail}")
        self.setting = setting


class UnavailableError(SamphiregateError):
    """An outside system did not answer, or refused for now."""

    def __init__(self, detail, *, ran=_codes.Ran.NO, retry_after_ms=None):
        super().__init__(
            _codes.ErrorCode.UNAVAILABLE,
            detail,
            ran=ran,
            retry_after_ms=retry_after_ms,
        )
