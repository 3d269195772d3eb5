"""How parsed commands are run."""

import functools


@functools.singledispatch
def run(command, root):
    """Runs a command; each module registers its own.

    Parameters
    ----------
    command : object
        The parsed command, or a group, whose command is run.
    root : Samphiregate
        The whole command line, with the options.

    Returns
    -------
    ExitCode
    """
    return run(command.command, root)
