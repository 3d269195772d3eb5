"""Keys in the store of cells, jobs and entry VMs."""

OWNERS_PREFIX = "cells/"
VMS_PREFIX = "vms/"
SILENT_PREFIX = "silent/"


def owner(cell):
    """Returns the key of the leased record of a cell's owner."""
    return f"{OWNERS_PREFIX}{cell}/owner"


def epoch(cell):
    """Returns the key that holds the last epoch assigned for a cell."""
    return f"epochs/{cell}"


def revoked(cell):
    """Returns the key of the last epoch that was revoked."""
    return f"revoked/{cell}"


def work_prefix(cell):
    """Returns the prefix of accepted jobs and cancellations."""
    return f"work/{cell}/"


def job(cell, job_id):
    """Returns the key of an accepted job."""
    return f"work/{cell}/job/{job_id}"


def cancel(cell, job_id):
    """Returns the key of an accepted cancellation."""
    return f"work/{cell}/cancel/{job_id}"


def records_prefix(cell):
    """Returns the prefix of the owner's job records."""
    return f"records/{cell}/"


def record(cell, job_id):
    """Returns the key of the owner's record of a job."""
    return f"records/{cell}/{job_id}"


def silent_endpoints(cell):
    """Returns the key of the endpoints that have not answered the owner."""
    return f"{SILENT_PREFIX}{cell}"


def last_write(cell):
    """Returns the key that each write of job records sets."""
    return f"writes/{cell}"


def vm(vm_id):
    """Returns the key of an entry VM's leased record."""
    return f"{VMS_PREFIX}{vm_id}"
