"""Max-min fair splits of whole tokens."""


def fair_split(total, demand_by_name, rotation=0):
    """Splits tokens so that the least served gets as much as possible.

    Parameters
    ----------
    total : int
        Tokens to split; a negative number counts as none.
    demand_by_name : dict
        What each can use at most, keyed by name.
    first : int
        Rotates who gets what cannot be split evenly.

    Returns
    -------
    dict
        Tokens of each, keyed by name; never above the demand, and in all
        never above `total`.
    """
    split = dict.fromkeys(demand_by_name, 0)
    remaining = max(0, total)
    unsatisfied = sorted(n for n, d in demand_by_name.items() if d > 0)
    while unsatisfied and remaining >= len(unsatisfied):
        equal_share = remaining // len(unsatisfied)
        for name in unsatisfied:
            step = min(equal_share, demand_by_name[name] - split[name])
            split[name] += step
            remaining -= step
        unsatisfied = [n for n in unsatisfied if split[n] < demand_by_name[n]]
    for index in range(min(remaining, len(unsatisfied))):
        split[unsatisfied[(rotation + index) % len(unsatisfied)]] += 1
    return split
