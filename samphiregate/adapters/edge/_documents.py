"""JSON documents of the API, and their validation."""

import attrs
import cattrs
from cattrs import gen
import orjson

from samphiregate.core import model
from samphiregate import errors

MOST_TASKS = 10_000
MOST_ATTEMPTS = 100
MOST_RUN_TIME_MS = 30 * 86_400_000
MOST_CPU_MILLIS = 1_024_000
MOST_MEMORY_MIB = 16_777_216
MOST_ACCELERATORS = 1_024
MOST_COMMAND_CHARACTERS = 16_384
MOST_ERRORS_SHOWN = 5


def _between(low, high):
    return attrs.validators.and_(
        attrs.validators.ge(low), attrs.validators.le(high)
    )


@attrs.frozen
class ResourcesDocument:
    """Size of each task of a job."""

    cpu_millis: int = attrs.field(
        default=0, validator=_between(0, MOST_CPU_MILLIS)
    )
    memory_mib: int = attrs.field(
        default=0, validator=_between(0, MOST_MEMORY_MIB)
    )
    accelerators: int = attrs.field(
        default=0, validator=_between(0, MOST_ACCELERATORS)
    )


@attrs.frozen
class JobDocument:
    """A job as its submitter describes it."""

    work_class: str = attrs.field(
        validator=attrs.validators.in_(("batch", "gang", "service"))
    )
    resources: ResourcesDocument
    task_count: int = attrs.field(default=1, validator=_between(1, MOST_TASKS))
    run_time_ms: int = attrs.field(
        default=0, validator=_between(0, MOST_RUN_TIME_MS)
    )
    urgent: bool = False
    checkpointable: bool = False
    max_attempts: int = attrs.field(
        default=3, validator=_between(1, MOST_ATTEMPTS)
    )
    command: str = attrs.field(
        default="",
        validator=attrs.validators.max_len(MOST_COMMAND_CHARACTERS),
    )


def job_spec(body, team):
    """Returns the job that a body describes.

    Parameters
    ----------
    body : bytes
        A JSON document.
    team : str
        Team that submits it.

    Returns
    -------
    model.JobSpec
        With an empty id.

    Raises
    ------
    BadInputError
        If the document is not valid.
    """
    document = _structure(body)
    size = document.resources
    resources = model.Resources(
        size.cpu_millis, size.memory_mib, size.accelerators
    )
    if resources == model.Resources():
        raise errors.BadInputError("resources: at least one must be above 0")
    return model.JobSpec(
        job_id="",
        team=team,
        work_class=model.WorkClass(document.work_class),
        task_count=document.task_count,
        resources=resources,
        run_time_ms=document.run_time_ms,
        urgent=document.urgent,
        checkpointable=document.checkpointable,
        max_attempts=document.max_attempts,
        command=document.command,
    )


def job_document(view):
    """Returns the document of a `JobView`."""
    return {
        "job_id": view.job_id,
        "team": view.team,
        "class": view.work_class.value,
        "state": view.state.value,
        "task_count": view.task_count,
        "urgent": view.urgent,
        "attempts": view.attempts,
        "tasks": dict(view.task_counts_by_state),
    }


def _structure(body):
    try:
        loaded = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise errors.BadInputError(f"not valid JSON: {error}") from error
    if not isinstance(loaded, dict):
        raise errors.BadInputError("the document must be an object")
    try:
        return _CONVERTER.structure(loaded, JobDocument)
    except cattrs.BaseValidationError as error:
        found = cattrs.transform_error(
            error, path="job", format_exception=_describe
        )
        shown = "; ".join(found[:MOST_ERRORS_SHOWN])
        raise errors.BadInputError(shown) from error


def _describe(error, kind):
    """Returns what is wrong with one value."""
    if isinstance(error, KeyError):
        return f"{error.args[0]} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(map(str, error.extra_fields)))
        return f"unknown member {names}"
    if isinstance(error, (ValueError, TypeError)):
        return str(error.args[0])
    return "invalid value"


def _exactly(kind):
    """Returns a hook that takes no value of another JSON type."""

    def check(value, _type):
        if type(value) is not kind:
            raise ValueError(f"expected {kind.__name__}")
        return value

    return check


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (bool, int, str):
        converter.register_structure_hook(kind, _exactly(kind))
    converter.register_structure_hook(
        JobDocument,
        gen.make_dict_structure_fn(
            JobDocument,
            converter,
            _cattrs_forbid_extra_keys=True,
            work_class=gen.override(rename="class"),
        ),
    )
    return converter


_CONVERTER = _make_converter()
