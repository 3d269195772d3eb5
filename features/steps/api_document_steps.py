"""Steps about the API document, compared with what the edge does."""

import pathlib

import behave
import orjson
from ruamel import yaml

from samphiregate import errors

DOCUMENT = pathlib.Path("docs/openapi.yaml")
NO_SUCH_CALL = "no such call"


def load():
    return yaml.YAML(typ="safe").load(DOCUMENT.read_text(encoding="utf-8"))


def bounded_properties():
    """Yields path, bounds and default of each bounded number of a job."""
    schemas = load()["components"]["schemas"]
    places = (("resources", "Resources"), ("", "NewJob"))
    for parent, schema in places:
        for name, rule in schemas[schema]["properties"].items():
            if "minimum" in rule:
                yield parent, name, rule["minimum"], rule["maximum"]


def submit(site, parent, name, value):
    """Submits a job with one value set and returns the status."""
    job = {"class": "batch", "resources": {"cpu_millis": 1, "memory_mib": 1}}
    target = job[parent] if parent else job
    target[name] = value
    return site.call("POST", "/v1/jobs", orjson.dumps(job)).status


@behave.then("edge: the API document names every code and no other")
def then_codes(context):
    problem = load()["components"]["schemas"]["Problem"]
    documented = set(problem["properties"]["code"]["enum"])
    assert documented == {code.value for code in errors.ErrorCode}


@behave.then("edge: every call of the API document is answered")
def then_calls(context):
    for path, calls in load()["paths"].items():
        filled = path.replace("{queue}", "holds").replace("{job_id}", "job")
        for method in set(calls) & {"get", "post", "delete"}:
            answer = context.site.call(method.upper(), filled)
            assert NO_SUCH_CALL not in answer.body.decode(), (method, path)


@behave.then("edge: every bound of a job in the API document is kept")
def then_bounds(context):
    checked = 0
    for parent, name, low, high in bounded_properties():
        statuses = [
            submit(context.site, parent, name, value)
            for value in (low - 1, low, high, high + 1)
        ]
        assert statuses == [400, 201, 201, 400], (name, statuses)
        checked += 1
    assert checked == 6, checked
