"""Steps about the fault matrix."""

import functools
import subprocess
import sys

import attrs
import behave

from features.support import fault_matrix
from features.support import mutations


@functools.cache
def _matrix():
    """Runs the matrix once, in separate processes, and prints it."""
    command = [sys.executable, "-m", "features.support.fault_matrix"]
    done = subprocess.run(command, capture_output=True, text=True)
    print(f"\n{done.stdout}{done.stderr}")
    return done.stdout


@behave.given("the matrix of single faults was run")
def given_matrix(context):
    context.matrix = _matrix()


@behave.then("no case of the fault {name} fails")
def then_fault_passes(context, name):
    lines = [
        line.strip().removeprefix(name).split()
        for line in context.matrix.splitlines()
        if line.strip().startswith(name + " ")
    ]
    assert lines == [["0/1"] * 5], (name, lines)


@behave.given("the case of {names} during {step} under seed {seed:d}")
def given_case(context, names, step, seed):
    context.case = fault_matrix.MatrixCase(
        faults=tuple(names.split(" + ")), step=step, seed=seed
    )


@behave.then("the case passes")
def then_case_passes(context):
    result = fault_matrix.run_case(context.case)
    assert not result.failures, result


@behave.then("the case fails without the guard {guard}")
def then_case_fails(context, guard):
    assert guard in mutations.GUARDS, guard
    case = attrs.evolve(context.case, guard=guard)
    assert fault_matrix.run_case(case).failures, case
