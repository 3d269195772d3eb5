"""Bounds how many stages of one job a plan looks at.

The load that this answers: a job with thousands of stages that could start, as
it has as many steps or occurrences. A plan that looked at each of them would
keep the owner from its other work, and other jobs from their starts. Where a
job has more, successive plans look at different ones.
"""

MAX_STAGES_OF_JOB = 64


class PlanShares:
    """Chooses the stages of each job for a plan."""

    def __init__(self):
        self._next_by_job = {}

    def choose(self, stages):
        """Returns the stages to look at in this plan.

        Parameters
        ----------
        stages : iterable of Stage
            All that could start.

        Returns
        -------
        list of Stage
        """
        stages_by_job = {}
        for stage in stages:
            job_id = stage.entry.job.job_id
            stages_by_job.setdefault(job_id, []).append(stage)
        chosen = []
        next_by_job = {}
        for job_id, own in stages_by_job.items():
            if len(own) <= MAX_STAGES_OF_JOB:
                chosen += own
                continue
            first = self._next_by_job.get(job_id, 0) % len(own)
            next_by_job[job_id] = first + MAX_STAGES_OF_JOB
            chosen += (own[first:] + own[:first])[:MAX_STAGES_OF_JOB]
        self._next_by_job = next_by_job
        return chosen
