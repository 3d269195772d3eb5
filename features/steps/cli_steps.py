"""Steps about the command line."""

import pathlib
import re
import shutil
import tempfile

import behave
import orjson

from features.support import cli as support
from features.support import platform as platform_support

TEAM_KEY = "sgk_of-a-team"


@behave.given(
    "a platform process with the entry VMs vm-1 and vm-2 for the command line"
)
def given_platform(context):
    context.platform = platform_support.enter(
        context, support.PlatformProcess()
    )
    context.variables = {"PLATFORM": context.platform.endpoint}
    context.entry_by_id = {}
    for vm_id in ("vm-1", "vm-2"):
        entry = support.FakeEntry(context.platform.revision)
        platform_support.enter(context, entry)
        context.platform.list_entry_vm(vm_id, entry.endpoint)
        context.entry_by_id[vm_id] = entry


@behave.given("the sample lists in a directory for the command line")
def given_lists(context):
    directory = tempfile.TemporaryDirectory()
    context.directory = pathlib.Path(
        platform_support.enter(context, directory)
    )
    shutil.copytree("examples/lists", context.directory / "LISTS")


@behave.given("the command line's entry VM {vm_id} stays at revision 0")
def given_stuck(context, vm_id):
    context.entry_by_id[vm_id].revision = lambda: 0


@behave.given(
    "an entry VM that refuses the command line with {code}, ran {ran}"
)
def given_refusing(context, code, ran):
    entry = support.FakeEntry(lambda: 0)
    platform_support.enter(context, entry)
    entry.refusal = (400, {"code": code, "ran": ran, "detail": "refusal"})
    context.variables = {"ENTRY": entry.endpoint, "KEY": TEAM_KEY}


@behave.given(
    "an entry VM that tells the command line of a job that is {state}"
)
def given_job(context, state):
    context.entry = support.FakeEntry(lambda: 0)
    platform_support.enter(context, context.entry)
    context.entry.answer = {"job_id": "job-1", "state": state}
    context.variables = {"ENTRY": context.entry.endpoint, "KEY": TEAM_KEY}


@behave.when("the command line's platform has the fault {fault}")
def when_fault(context, fault):
    faults = {
        "losing an answer": {"lose_answers": 1},
        "losing 3 answers": {"lose_answers": 3},
        "down": {"down": True},
    }
    context.platform.set_faults(**faults[fault])


@behave.then("these commands, as processes, end as told")
def then_processes(context):
    check_commands(context, support.run_process)


@behave.then("these commands end as told")
def then_commands(context):
    check_commands(context, support.run_here)


def check_commands(context, run):
    """Runs each command of the table and checks how it ends."""
    variables = getattr(context, "variables", {})
    for row in context.table:
        arguments = [place(context, word) for word in row["command"].split()]
        if arguments[0] == "EDIT":
            edit_limit(arguments[1])
            continue
        done = run(arguments, **variables)
        told = (row["command"], done.returncode, done.stdout, done.stderr)
        assert done.returncode == int(row["exit"]), told
        assert row["shows"] in done.stdout + done.stderr, told
        assert "Traceback" not in done.stderr, told


def place(context, word):
    """Returns a word of a command, with directories and keys put in."""
    if word in ("LISTS", "GOT", "MINE", "LINES"):
        return str(context.directory / word)
    if word == "KEY":
        listed = support.run_here(
            ["--output", "json", "keys", "list"], **context.variables
        )
        return orjson.loads(listed.stdout)[0]["key_id"]
    return word


def edit_limit(directory):
    """Raises the limit of the plan nightly, for each copy otherwise."""
    path = pathlib.Path(directory) / "plans.toml"
    text = path.read_text(encoding="utf-8")
    found = re.search(r"max_running = (4\d\d)", text)
    raised = int(found[1]) + (1 if path.parent.name == "GOT" else 2)
    path.write_text(
        text.replace(found[0], f"max_running = {raised}"), encoding="utf-8"
    )


@behave.then("the platform of the command line holds revision {revision:d}")
def then_revision(context, revision):
    context.platform.set_faults(down=False)
    assert context.platform.revision() == revision


@behave.then("the entry VM got the command line's request and job")
def then_got(context):
    (request, body), (job, document) = context.entry.calls
    assert body == b"hi"
    assert request["PATH_INFO"] == "/v1/queues/holds/requests"
    assert request["HTTP_AUTHORIZATION"] == f"Bearer {TEAM_KEY}"
    assert request["HTTP_SAMPHIREGATE_IDEMPOTENT"] == "true"
    assert request["HTTP_SAMPHIREGATE_DEADLINE_MS"] == "700"
    assert job["PATH_INFO"] == "/v1/jobs"
    assert job["HTTP_IDEMPOTENCY_KEY"]
    sent = orjson.loads(document)
    assert sent["class"] == "gang" and sent["task_count"] == 4
    assert sent["resources"]["cpu_millis"] == 100 and sent["urgent"]
