"""Selects the tasks that give way on one worker."""


def select_cheapest(by_cost, room, need):
    """Selects tasks to stop so that a need fits on their worker.

    Takes the cheapest until the need fits, then leaves out those that are
    not needed after all, the costliest first.

    Parameters
    ----------
    by_cost : iterable
        Tasks of the worker that may be stopped, each with `resources`; the
        cheapest first. No more are taken from it than are needed.
    room : Resources
        What is free on the worker.
    need : Resources

    Returns
    -------
    list or None
        None if the need does not fit even so.
    """
    chosen = []
    for task in by_cost:
        if need.fits_in(room):
            break
        chosen.append(task)
        room = room + task.resources
    if not need.fits_in(room):
        return None
    kept = []
    for task in reversed(chosen):
        if need.fits_in(room - task.resources):
            room = room - task.resources
        else:
            kept.append(task)
    return kept
