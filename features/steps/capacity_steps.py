"""Steps about fitting slopes and working out the capacity."""

import pathlib
import tempfile

from behave import given
from behave import then
from behave import when

import bench
from bench import capacity
from bench.capacity import _slopes
from bench.capacity import _workings

TOLERANCE = 0.001


@given("the capacity points {points}")
def _(context, points):
    pairs = (pair.split(":") for pair in points.split())
    context.pairs = [(float(x), float(y)) for x, y in pairs]


@when("a capacity line is fitted")
def _(context):
    context.slope = capacity.fit("name", "size", context.pairs)


@then(
    "its capacity gradient is {gradient:g}, base {base:g}"
    " and spread {spread:g}"
)
def _(context, gradient, base, spread):
    slope = context.slope
    assert abs(slope.gradient - gradient) < TOLERANCE, slope
    assert abs(slope.base - base) < TOLERANCE, slope
    assert abs(slope.spread_percent - spread) < TOLERANCE, slope
    assert abs(slope.at(10) - base - 10 * gradient) < TOLERANCE, slope


@given('a capacity slope "{name}" of {gradient:g} and {base:g}')
def _(context, name, gradient, base):
    pairs = [(0, base), (100, base + 100 * gradient)]
    context.slopes_by_name = {name: capacity.fit(name, "size", pairs)}


@given("no capacity slope")
def _(context):
    context.slopes_by_name = {}


@when("the capacity is worked out for {vms:d} entry VMs")
def _(context, vms):
    size = capacity.Size(entry_vms=vms)
    workings = capacity.Workings(context.slopes_by_name, size)
    context.rows = workings.rows()


@then('the capacity row "{quantity}" says {headroom}')
def _(context, quantity, headroom):
    (row,) = [row for row in context.rows if row.quantity == quantity]
    assert row.headroom == headroom, row


@then("every capacity row is not measured")
def _(context):
    table = _workings.markdown(context.rows, {})
    lines = table.splitlines()[2:]
    assert len(lines) == len(context.rows) > 0
    for line in lines:
        result = line.split(" | ")[3]
        assert result == _workings.NOT_MEASURED, line


@when("the capacity slopes are written and read")
def _(context):
    slopes = list(context.slopes_by_name.values())
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        _slopes.write(slopes, bench.Settings(), path)
        context.read = _slopes.read(path)


@then("the capacity slopes are the same")
def _(context):
    assert context.read == list(context.slopes_by_name.values())
