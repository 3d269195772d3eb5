"""Names of the keys that entry VMs keep in the store."""

OWNERS_PREFIX = "cells/"
VMS_PREFIX = "vms/"


def owner(cell):
    """Key of the leased record of a cell's owner."""
    return f"{OWNERS_PREFIX}{cell}/owner"


def epoch(cell):
    """Key of the last epoch given out."""
    return f"epochs/{cell}"


def work_prefix(cell):
    """Prefix of what callers ask for."""
    return f"work/{cell}/"


def job(cell, job_id):
    """Key of an accepted job."""
    return f"work/{cell}/job/{job_id}"


def cancel(cell, job_id):
    """Key of a cancelling that was accepted."""
    return f"work/{cell}/cancel/{job_id}"


def records_prefix(cell):
    """Prefix of the owner's notes."""
    return f"records/{cell}/"


def record(cell, job_id):
    """Key of the owner's notes of a job."""
    return f"records/{cell}/{job_id}"


def last_write(cell):
    """Key that each write of the owner's notes sets."""
    return f"writes/{cell}"


def vm(vm_id):
    """Key of an entry VM's leased record."""
    return f"{VMS_PREFIX}{vm_id}"
