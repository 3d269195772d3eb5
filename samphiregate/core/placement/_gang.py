"""Placement of all tasks of a gang at once."""

from samphiregate.core import model
from samphiregate.core.placement import _grid
from samphiregate.core.placement import _index


def place_gang(index, question, reserved, limits):
    """Returns a worker for each task of a gang, or None.

    Parameters
    ----------
    index : WorkerIndex
        Workers that are open to all work.
    question : PlaceGang
        The gang.
    reserved : list of WorkerRecord
        Workers that are reserved for this gang.
    limits : SearchLimits
        Limits of the search.

    Returns
    -------
    tuple of str or None
        Ids of workers, one for each task.

    Notes
    -----
    Workers are filled in this order: reserved, empty, then by descending
    room. Without a reservation, a gang that fits on one worker is placed on
    the one with the best fit, and if a worker has room for more than the
    remaining tasks, these go on the worker with the best fit for all of
    them. With a reservation neither is done.

    Each worker of a cell that is checked and not excluded either has room
    for a task or counts as a probe, so the cost grows with the size of the
    gang and the number of cells, not with the number of workers.
    """
    if not reserved:
        single = _single_worker(index, question, question.count, limits)
        if single is not None:
            return (single.worker_id,) * question.count
    if not _may_fit(index, question, reserved):
        return None
    worker_ids = []
    unusable = set(question.excluded_workers)
    for record in _largest_first(index, question, reserved, limits):
        missing = question.count - len(worker_ids)
        units = record.fitting_units(question.resources)
        if units > missing and not reserved:
            record = _worker_for_remainder(
                index, question, missing, unusable, record, limits
            )
        units = min(units, missing)
        worker_ids.extend([record.worker_id] * units)
        unusable.add(record.worker_id)
        if len(worker_ids) == question.count:
            return tuple(worker_ids)
    return None


def _scaled(resources, count):
    return model.Resources(
        resources.cpu_millis * count,
        resources.memory_mib * count,
        resources.accelerators * count,
    )


def _single_worker(index, question, count, limits, excluded=None):
    need = _scaled(question.resources, count)
    excluded = question.excluded_workers if excluded is None else excluded
    for grid in index.grids_for(need):
        record = grid.best_fit(need, excluded, limits)
        if record is not None:
            return record
    return None


def _worker_for_remainder(index, question, missing, unusable, record, limits):
    best_fit = _single_worker(index, question, missing, limits, unusable)
    return record if best_fit is None else best_fit


def _may_fit(index, question, reserved):
    """Returns whether upper bounds of the cells allow the gang to fit.

    No worker of a cell is checked.
    """
    need = question.resources
    units = sum(record.fitting_units(need) for record in reserved)
    for grid in index.grids_for(need):
        for position, cell in grid.cells_from_largest(need):
            if units >= question.count:
                return True
            units += len(cell) * _max_units(position, need)
    return units >= question.count


def _max_units(position, need):
    """Returns how many units fit at most on a worker of a cell.

    The bound follows from the upper ends of the cell's buckets of CPU and
    memory; it is 1 if `need` has neither.
    """
    row, column = position
    units = []
    if need.cpu_millis:
        max_amount = _grid.bucket_min(row + 1) - 1
        units.append(max_amount // need.cpu_millis)
    if need.memory_mib:
        max_amount = _grid.bucket_min(column + 1) - 1
        units.append(max_amount // need.memory_mib)
    return min(units, default=1)


def _largest_first(index, question, reserved, limits):
    for record in reserved:
        if record.worker_id not in question.excluded_workers:
            yield record
    for grid in index.grids_for(question.resources, empty_first=True):
        cells = grid.cells_from_largest(question.resources)
        for _position, cell in cells:
            yield from _fitting(cell, question, limits.probes)


def _fitting(cell, question, probes):
    for record in cell:
        if record.worker_id in question.excluded_workers:
            continue
        if _index.fitting_units(record.room, question.resources):
            yield record
            continue
        probes -= 1
        if not probes:
            return
