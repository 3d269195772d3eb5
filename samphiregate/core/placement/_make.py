"""Placement policies by name."""

from samphiregate.core.placement import _first_fit
from samphiregate.core.placement import _indexed
from samphiregate.core.placement import _sampled
from samphiregate import parameters

PLACEMENTS_BY_NAME = {
    "first-fit": _first_fit.FirstFit,
    "indexed-best-fit": _indexed.IndexedBestFit,
    "sampled-best-fit": _sampled.SampledBestFit,
}


def make_placement(name, **params):
    """Returns a placement policy.

    Parameters
    ----------
    name : str
        One of `PLACEMENTS_BY_NAME`.
    **params
        Keyword arguments of its class.

    Raises
    ------
    SettingError
        If the name or a parameter is not allowed.
    """
    return parameters.make_named("placement", PLACEMENTS_BY_NAME, name, params)
