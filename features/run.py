"""Runs every scenario and closes with one line of counts.

Scenarios listed in KNOWN-RED.txt may fail: they are run, printed and
counted as skipped. A listed scenario that passes counts as failed, so that
the list stays true.
"""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

from behave import configuration  # noqa: E402
from behave import model_type  # noqa: E402
from behave import runner  # noqa: E402

KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")
TEST_PREFIX = "test: "


def read_known_red(path=KNOWN_RED_PATH):
    """Returns the scenario names that KNOWN-RED.txt lists.

    Each entry has a line ``test: <scenario name>``, followed by lines for
    the command and seed, what was seen, and the open issue.
    """
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def print_reason(scenario):
    """Prints the step that failed, and why."""
    for step in scenario.all_steps:
        if step.status.has_failed():
            print(f"  {step.name}\n  {step.error_message}")


def count(features, known_red, lines=False):
    """Counts outcomes and prints each known-red scenario.

    Parameters
    ----------
    features : list
    known_red : set of str
    lines : bool
        Whether single scenarios were asked for; the others do not count.

    Returns
    -------
    tuple of int
        Passed, failed and skipped scenarios.
    """
    passed = failed = skipped = 0
    for feature in features:
        for scenario in feature.walk_scenarios():
            listed = scenario.name in known_red
            if scenario.status == model_type.Status.passed:
                if listed:
                    print(f"known red, but passes: {scenario.name}")
                    failed += 1
                else:
                    passed += 1
            elif scenario.status.has_failed():
                if listed:
                    print(f"known red: {scenario.name}")
                    skipped += 1
                else:
                    print(f"failed: {scenario.name}")
                    print_reason(scenario)
                    failed += 1
            elif not lines:
                skipped += 1
    return passed, failed, skipped


def main(arguments):
    """Runs behave and returns the exit status."""
    options = ["--format=progress", "--no-capture", *arguments]
    config = configuration.Configuration(options or ["features"])
    suite = runner.Runner(config)
    suite.run()
    lines = any(":" in argument for argument in arguments)
    passed, failed, skipped = count(suite.features, read_known_red(), lines)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or suite.hook_failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
