"""Drives the command line as an operator and a submitter would."""

import os
import subprocess
import sys

import orjson

from samphiregate import errors

TIMEOUT_S = 60


class Operator:
    """Runs `samphiregate` against one site.

    Parameters
    ----------
    platform_endpoint, entry_endpoint : str
        ``ip:port`` of the platform and of one entry VM.
    """

    def __init__(self, platform_endpoint, entry_endpoint):
        self._variables = {
            **os.environ,
            "SAMPHIREGATE_PLATFORM": platform_endpoint,
            "SAMPHIREGATE_ENTRY": entry_endpoint,
        }

    def run(self, *arguments, key=""):
        """Runs one command.

        Returns
        -------
        str
            Its standard output.

        Raises
        ------
        SamphiregateError
            If it exits with another status than 0.
        """
        done = subprocess.run(
            [sys.executable, "-m", "samphiregate.cli", *arguments],
            capture_output=True,
            text=True,
            env={**self._variables, "SAMPHIREGATE_KEY": key},
            timeout=TIMEOUT_S,
        )
        if done.returncode:
            raise errors.SamphiregateError(
                errors.ErrorCode.INTERNAL,
                f"{arguments} ended with {done.returncode}: {done.stderr}",
            )
        return done.stdout

    def run_json(self, *arguments, key=""):
        """Runs one command and decodes its output from JSON."""
        output = self.run(*arguments, "--output", "json", key=key)
        return orjson.loads(output)

    def give_key(self, team):
        """Gives a team a new key and returns it."""
        return self.run_json("keys", "give", team)["key"]

    def submit(self, key, *flags):
        """Submits a job and returns its id."""
        return self.run_json("job", "submit", *flags, key=key)["job_id"]
