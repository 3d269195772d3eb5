"""Writing the lists as files that an operator goes on to edit."""

import pathlib
import re

import tomli_w

from samphiregate.lists import _lists

_REVISION_LINE = re.compile(r"^revision\s*=.*$", re.MULTILINE)
_TEAMS_COMMENT = "# Teams, each with its plan.\n"
_PLANS_COMMENT = "# Plans and what each may use; queues and their services.\n"


def render_teams(configuration):
    """Returns the text of the list of teams."""
    teams = {
        name: {"plan": team.plan}
        for name, team in sorted(configuration.teams_by_name.items())
    }
    document = {"revision": configuration.revision, "teams": teams}
    return _TEAMS_COMMENT + tomli_w.dumps(document)


def render_plans(configuration):
    """Returns the text of the list of plans."""
    plans = {
        name: {
            "share": plan.share,
            "max_running": plan.max_running,
            "queues": list(plan.queues),
            "classes": list(plan.work_classes),
            "urgent": plan.urgent,
        }
        for name, plan in sorted(configuration.plans_by_name.items())
    }
    queues = {
        name: {"service": queue.service, "open_to_all": queue.open_to_all}
        for name, queue in sorted(configuration.queues_by_name.items())
    }
    document = {
        "revision": configuration.revision,
        "plans": plans,
        "queues": queues,
    }
    return _PLANS_COMMENT + tomli_w.dumps(document)


def write_lists(configuration, directory):
    """Writes both files and returns their paths."""
    directory = pathlib.Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    teams_path = directory / _lists.TEAMS_FILE
    plans_path = directory / _lists.PLANS_FILE
    teams_path.write_text(render_teams(configuration), encoding="utf-8")
    plans_path.write_text(render_plans(configuration), encoding="utf-8")
    return teams_path, plans_path


def set_revision(directory, revision):
    """Brings the files' revision up to date, where they tell one."""
    for name in (_lists.TEAMS_FILE, _lists.PLANS_FILE):
        path = pathlib.Path(directory) / name
        text = path.read_text(encoding="utf-8")
        changed = _REVISION_LINE.sub(f"revision = {revision}", text, count=1)
        if changed != text:
            path.write_text(changed, encoding="utf-8")
