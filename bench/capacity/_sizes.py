"""The size that the project is designed for, and what follows from it."""

import attrs

SECONDS_PER_DAY = 86_400


@attrs.frozen
class Size:
    """The fleet of the design, as counts.

    Parameters
    ----------
    entry_vms : int
        Entry VMs of the whole fleet.
    """

    entry_vms: int = 132
    data_centres: int = 11
    workers: int = 22_000
    running_tasks: int = 120_000
    starts_a_second: int = 14_000
    teams: int = 380
    jobs_a_day: int = 200_000
    job_retention_h: int = 6
    job_copies: int = 2
    changes_a_day: int = 45_000
    failures_a_day: int = 250
    replacements_a_day: int = 2_800

    @property
    def vms_a_centre(self):
        """Entry VMs of one data centre."""
        return self.entry_vms / self.data_centres

    @property
    def workers_a_vm(self):
        """Owned workers of one entry VM."""
        return self.workers / self.entry_vms

    @property
    def tasks_a_vm(self):
        """Running tasks of one entry VM."""
        return self.running_tasks / self.entry_vms

    @property
    def starts_a_vm(self):
        """Task starts a second of one entry VM at the peak."""
        return self.starts_a_second / self.entry_vms

    @property
    def jobs_a_vm(self):
        """Owned jobs that one entry VM shows, ended ones included."""
        hours = self.job_retention_h
        return self.jobs_a_day * hours / 24 / self.entry_vms

    @property
    def copies_a_vm(self):
        """Copies of others' jobs on one entry VM."""
        return self.jobs_a_vm * self.job_copies

    @property
    def changes_a_second(self):
        """Changes of the configuration a second."""
        return self.changes_a_day / SECONDS_PER_DAY
