"""What each team is due of work that all of them ask for."""


def shares_due(demand_by_team, weight_by_team, capacity):
    """Divides `capacity` by weight, giving no team more than it asks for.

    What a team leaves over goes to the others by their weights.

    Parameters
    ----------
    demand_by_team : dict
        What each team asks for, in the unit of `capacity`.
    weight_by_team : dict
        Weight of each team in `demand_by_team`.
    capacity : float
        What there is.

    Returns
    -------
    dict
        What each team is due.
    """
    due_by_team = dict.fromkeys(demand_by_team, 0.0)
    open_teams = set(demand_by_team)
    left = float(capacity)
    while open_teams and left > 0:
        weights = sum(weight_by_team[team] for team in open_teams)
        level = left / weights
        satisfied = {
            team
            for team in open_teams
            if demand_by_team[team] <= level * weight_by_team[team]
        }
        if not satisfied:
            for team in open_teams:
                due_by_team[team] = level * weight_by_team[team]
            break
        for team in satisfied:
            due_by_team[team] = float(demand_by_team[team])
            left -= demand_by_team[team]
        open_teams -= satisfied
    return due_by_team
