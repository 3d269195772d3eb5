"""Steps that run random traces and check them for violations."""

import behave
import hypothesis
import hypothesis.strategies

from features.support import random_traces


@behave.then(
    "{count:d} random traces with {faults} complete all valid work"
    " without violations"
)
def then_random_traces(context, count, faults):
    fault_kinds = frozenset(faults.split(", "))

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(hypothesis.strategies.integers(0, 2**32))
    def check(seed):
        outcome = random_traces.run_random_trace(seed, fault_kinds)
        violations = {k: n for k, n in outcome.violations.items() if n}
        assert not violations, violations
        valid_works = [work for work in outcome.works if not work.fails]
        unfinished = [work for work in valid_works if not work.is_over]
        assert not unfinished, unfinished[:2]
        wrongly_failed = [
            work for work in outcome.failed_works if not work.fails
        ]
        assert not wrongly_failed, wrongly_failed[:2]

    check()
