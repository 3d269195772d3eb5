"""The operators' files: reading, checking, comparing, applying."""

from samphiregate.lists._changes import changes_lists
from samphiregate.lists._changes import describe_edit
from samphiregate.lists._changes import Difference
from samphiregate.lists._changes import differences
from samphiregate.lists._changes import edit_between
from samphiregate.lists._editor import ConfigurationEditor
from samphiregate.lists._editor import RaceLostError
from samphiregate.lists._editor import StoredConfiguration
from samphiregate.lists._lists import Lists
from samphiregate.lists._lists import parse_lists
from samphiregate.lists._lists import PLANS_FILE
from samphiregate.lists._lists import read_lists
from samphiregate.lists._lists import TEAMS_FILE
from samphiregate.lists._operations import apply_lists
from samphiregate.lists._operations import give_key
from samphiregate.lists._operations import withdraw_key
from samphiregate.lists._problems import InvalidListsError
from samphiregate.lists._problems import Problem
from samphiregate.lists._render import render_plans
from samphiregate.lists._render import render_teams
from samphiregate.lists._render import set_revision
from samphiregate.lists._render import write_lists

__all__ = [
    "PLANS_FILE",
    "TEAMS_FILE",
    "ConfigurationEditor",
    "Difference",
    "InvalidListsError",
    "Lists",
    "Problem",
    "RaceLostError",
    "StoredConfiguration",
    "apply_lists",
    "changes_lists",
    "describe_edit",
    "differences",
    "edit_between",
    "give_key",
    "parse_lists",
    "read_lists",
    "render_plans",
    "render_teams",
    "set_revision",
    "withdraw_key",
    "write_lists",
]
