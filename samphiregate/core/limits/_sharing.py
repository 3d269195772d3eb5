"""Max-min fair allocation of whole tokens."""


def fair_split(total, demand_by_name, rotation=0):
    """Splits tokens by max-min fairness.

    Parameters
    ----------
    total : int
        Tokens to split; a negative number counts as zero.
    demand_by_name : dict
        Upper bound of the tokens of each name.
    rotation : int
        Offset that rotates which names get the indivisible remainder.

    Returns
    -------
    dict
        Tokens keyed by name; none exceeds its demand, and the sum does
        not exceed `total`.
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
