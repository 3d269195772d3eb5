"""Steps about the fault matrix."""

import behave

from features.support import fault_matrix
from features.support import faults
from features.support import mutations


@behave.given("the cells of the fault {name} at every step")
def given_cells(context, name):
    assert set(mutations.GUARDS)
    context.cells = [
        fault_matrix.Cell(faults=(name,), step=step)
        for step in faults.STEPS_BY_NAME
    ]


@behave.given("the cells of {names} at {step} without the guard {guard}")
def given_cells_without(context, names, step, guard):
    assert guard in mutations.GUARDS, guard
    context.cells = [
        fault_matrix.Cell(
            faults=tuple(names.split(" + ")),
            step=step,
            seed=seed,
            guard=guard,
        )
        for seed in (1, 2, 3)
    ]


@behave.when("the cells are played")
def when_played(context):
    context.verdicts = fault_matrix.run_cells(context.cells)


@behave.then("no cell is red")
def then_green(context):
    red = [verdict for verdict in context.verdicts if verdict.complaints]
    assert not red, red


@behave.then("some cell is red")
def then_red(context):
    assert any(verdict.complaints for verdict in context.verdicts)
