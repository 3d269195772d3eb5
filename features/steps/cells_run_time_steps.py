"""Steps about run times that are learned, and endpoints of uneven speed."""

import collections
import functools
import math
import random

import behave

from features.support import cells_run_times
from features.support import cells_work
from samphiregate.core import cells

JOB_TASKS = 4
MAX_REST_MS = 15_000  # in which the last jobs may end
# Image: usual time of its tasks, and how many times as long as that the
# callers' estimates are in the median.
BIASED_IMAGES = {"short": (500, 1.8), "long": (1_500, 0.5)}
SPREAD = 0.3  # of the logarithms of the usual times of jobs
ESTIMATE_SPREAD = 0.4  # of the logarithms of their errors


@behave.given(
    "{count:d} uneven endpoints of {cores:d} cores, from seed {seed:d}"
)
def given_uneven(context, count, cores, seed):
    simulation = cells_run_times.RunTimeSimulation(seed)
    context.simulation = simulation
    context.random = random.Random(seed)
    for number in range(count):
        simulation.add_endpoint(
            f"e{number}", cpu=cores * 1_000, labels=("a", f"r{number // 4}")
        )


def _submit_stream(
    context,
    image,
    *,
    gap_ms,
    span_ms,
    bias,
    spread,
    usual_ms,
    job_spread=SPREAD,
    speculative=False,
    **queue,
):
    """Submits jobs of an image at random intervals from now on."""
    simulation, rnd = context.simulation, context.random
    at_ms = rnd.expovariate(1 / gap_ms)
    job_ids = []
    while at_ms < span_ms:
        job_ms = usual_ms * math.exp(rnd.gauss(0, job_spread))
        estimate_ms = job_ms * bias * math.exp(rnd.gauss(0, spread))
        job_id = f"{image}-{simulation.now_ms}-{len(job_ids)}"
        job = cells_run_times.make_job(
            job_id,
            image,
            JOB_TASKS,
            round(estimate_ms),
            speculative=speculative,
            **queue,
        )
        submit = functools.partial(simulation.submit_uneven, job, job_ms)
        simulation.at(round(at_ms), submit)
        job_ids.append(job_id)
        at_ms += rnd.expovariate(1 / gap_ms)
    return job_ids


@behave.when(
    "jobs of a short and a long image, with biased estimates, come for "
    "{span_s:d} s at {percent:d} percent of the room"
)
def when_biased(context, span_s, percent):
    simulation = context.simulation
    cores = sum(
        one.capacity.cpu_millis // 1_000
        for one in simulation.endpoint_by_id.values()
    )
    context.job_ids = []
    for image, (usual_ms, bias) in BIASED_IMAGES.items():
        share = cores * percent / 100 / len(BIASED_IMAGES)
        context.job_ids += _submit_stream(
            context,
            image,
            gap_ms=usual_ms * JOB_TASKS / share,
            span_ms=span_s * 1_000,
            bias=bias,
            spread=ESTIMATE_SPREAD,
            usual_ms=usual_ms,
        )
    _run_until_done(context, span_s)


def _run_until_done(context, span_s):
    """Lets jobs come for a time, and waits for them a while."""
    simulation = context.simulation
    simulation.run_for(span_s * 1_000)
    simulation.run_until(
        lambda: (
            len(simulation.done_ms_by_job)
            == len(simulation.submitted_ms_by_job)
        ),
        MAX_REST_MS,
    )


@behave.then("at least {percent:d} percent of the jobs are on time")
def then_on_time(context, percent):
    share = context.simulation.share_on_time(context.job_ids)
    assert 100 * share >= percent, share


@behave.given(
    "of 100 tasks, {percent:d} take {factor:d} times as long as others"
)
def given_tail(context, percent, factor):
    context.simulation.tail_share = percent / 100
    context.simulation.tail_factor = factor


def _run_job(context, image, usual_ms, estimate_ms, count=JOB_TASKS):
    """Submits a job and waits for its end."""
    simulation = context.simulation
    job_id = f"{image}-{simulation.now_ms}"
    job = cells_run_times.make_job(job_id, image, count, round(estimate_ms))
    simulation.submit_uneven(job, usual_ms)
    simulation.run_until(lambda: job_id in simulation.done_ms_by_job)


@behave.when(
    '{count:d} jobs of image "{image}" run whose tasks take {times:g} times '
    "their estimates"
)
def when_jobs_run(context, count, image, times):
    for _each in range(count):
        estimate_ms = context.random.uniform(200, 400)
        _run_job(context, image, times * estimate_ms, estimate_ms)


@behave.when(
    '{count:d} jobs of image "{image}" run that take {usual_ms:d} ms whatever '
    "their estimates"
)
def when_jobs_run_unestimated(context, count, image, usual_ms):
    for _each in range(count):
        estimate_ms = usual_ms * math.exp(context.random.gauss(0, 1))
        _run_job(context, image, usual_ms, estimate_ms)


def _expected_ms(context, image, estimate_ms):
    job = cells_run_times.make_job("none", image, 1, estimate_ms)
    run_times = context.simulation.cell.cell_state.run_times
    return run_times.expected_ms(job.queue, job.steps[0])


@behave.then(
    'tasks of image "{image}" are expected to take {times:g} times their '
    "estimates, within {percent:d} percent"
)
def then_expected(context, image, times, percent):
    for estimate_ms in (200, 300, 400):
        ratio = _expected_ms(context, image, estimate_ms) / estimate_ms
        assert abs(ratio / times - 1) <= percent / 100 + 1e-9, ratio


@behave.then(
    'a task of image "{image}" with an estimate of {estimate_ms:d} ms is '
    "expected to take {usual_ms:d} ms, within {percent:d} percent"
)
def then_expected_ms(context, image, estimate_ms, usual_ms, percent):
    expected_ms = _expected_ms(context, image, estimate_ms)
    assert abs(expected_ms / usual_ms - 1) <= percent / 100, expected_ms


@behave.when(
    "a job of {count:d} tasks starts whose tasks take {times:g} times their "
    "estimates"
)
def when_wide_job_starts(context, count, times):
    job = cells_run_times.make_job("wide", "a", count, 500)
    context.simulation.submit_uneven(job, 500 * times)


@behave.when("a job of {count:d} tasks starts whose tasks never move")
def when_stuck_job_starts(context, count):
    job = cells_run_times.make_job("wide", "a", count, 500)
    context.simulation.submit_uneven(job, math.inf)


def _wide_stage_ratio(context):
    """Returns the expected time of a task of the wide job's estimate."""
    cell_state = context.simulation.cell.cell_state
    stage = cell_state.entry_by_id["wide"].stages_by_key[0, 0]
    expected_ms = cell_state.run_times.expected_stage_ms(stage)
    return expected_ms / stage.step.estimate_ms


@behave.then(
    "the others are expected to take {times:g} times their estimates, within "
    "{percent:d} percent"
)
def then_others_expected(context, times, percent):
    ratio = _wide_stage_ratio(context)
    assert abs(ratio / times - 1) <= percent / 100, ratio


@behave.then(
    "the others are expected to take at least {times:g} times their estimates"
)
def then_others_expected_above(context, times):
    ratio = _wide_stage_ratio(context)
    assert ratio >= times, ratio


SLOWNESS = 1 / 0.55
SLOW_ENDPOINT_GAP = 4  # each fourth endpoint is slow


@behave.given("one in four endpoints has 0.55 of the usual speed for good")
def given_slow_endpoints(context):
    endpoints = list(context.simulation.endpoint_by_id.values())
    for endpoint in endpoints[::SLOW_ENDPOINT_GAP]:
        endpoint.slowness = SLOWNESS


@behave.when(
    "urgent and other jobs come for {span_s:d} s at {percent:d} percent of "
    "the room"
)
def when_urgent_and_others(context, span_s, percent):
    simulation = context.simulation
    cores = 4 * len(simulation.endpoint_by_id)
    options_by_image = {
        "urgent": {
            "usual_ms": 500,
            "priority": 0,
            "stretch": 1.5,
            "target_ms": 100,
        },
        "other": {"usual_ms": 1_500, "priority": 2, "stretch": 4.0},
    }
    context.job_ids_by_image = {}
    for image, options in options_by_image.items():
        share = cores * percent / 100 / len(options_by_image)
        context.job_ids_by_image[image] = _submit_stream(
            context,
            image,
            gap_ms=options["usual_ms"] * JOB_TASKS / share,
            span_ms=span_s * 1_000,
            bias=1.0,
            spread=0.1,
            **options,
        )
    _run_until_done(context, span_s)


@behave.then("at least {percent:d} percent of the {image} jobs are on time")
def then_image_on_time(context, percent, image):
    job_ids = context.job_ids_by_image[image]
    share = context.simulation.share_on_time(job_ids)
    assert 100 * share >= percent, share


@behave.then(
    "at least {percent:d} percent of the {image} jobs from the {second:d}th "
    "second on are on time"
)
def then_later_on_time(context, percent, image, second):
    simulation = context.simulation
    job_ids = [
        job_id
        for job_id in context.job_ids_by_image[image]
        if simulation.submitted_ms_by_job[job_id] >= second * 1_000
    ]
    share = simulation.share_on_time(job_ids)
    assert 100 * share >= percent, share


def _check_factors(context, endpoints, times, percent):
    speeds = context.simulation.cell.cell_state.run_times.speeds
    factor_by_id = {
        one.endpoint_id: speeds.time_factor(one) for one in endpoints
    }
    assert factor_by_id
    for factor in factor_by_id.values():
        assert abs(factor / times - 1) <= percent / 100, factor_by_id


@behave.then(
    'endpoints "{endpoint_ids}" take {times:g} times as long as usual, within '
    "{percent:d} percent"
)
def then_factors(context, endpoint_ids, times, percent):
    endpoint_by_id = context.simulation.cell.cell_state.endpoint_by_id
    endpoints = [endpoint_by_id[one] for one in endpoint_ids.split(",")]
    _check_factors(context, endpoints, times, percent)


@behave.then(
    'endpoints of kind "{kind}" take {times:g} times as long as usual, within '
    "{percent:d} percent"
)
def then_kind_factors(context, kind, times, percent):
    endpoints = [
        one
        for one in context.simulation.cell.cell_state.endpoint_by_id.values()
        if one.registration.labels[0] == kind and one.registered
    ]
    _check_factors(context, endpoints, times, percent)


@behave.given(
    'endpoints of kind "{kind}" have 0.55 of the usual speed for good'
)
def given_slow_kind(context, kind):
    simulation = context.simulation
    for number, endpoint in enumerate(simulation.endpoint_by_id.values()):
        if number % 2:
            endpoint.labels = (kind, endpoint.labels[1])
            endpoint.slowness = SLOWNESS


@behave.when(
    'endpoint "{endpoint_id}" takes {times:g} times as long for {span_s:d} s '
    "from the {second:d}th second on"
)
def when_slow_for(context, endpoint_id, times, span_s, second):
    simulation = context.simulation
    endpoint = simulation.endpoint_by_id[endpoint_id]
    simulation.at(
        second * 1_000,
        lambda: simulation.slow_down(endpoint, times, span_s * 1_000),
    )


@behave.when("all endpoints restart")
def when_all_restart(context):
    for endpoint in context.simulation.endpoint_by_id.values():
        endpoint.restart()
    context.simulation.run_for(3_000)


def _replace_all(context, service):
    simulation = context.simulation
    for endpoint in list(simulation.endpoint_by_id.values()):
        simulation.announce(cells.EndpointDeregistered(endpoint.endpoint_id))
        endpoint.leave()
        endpoint.is_replaced = True
        simulation.add_endpoint(
            f"{endpoint.endpoint_id}-next",
            labels=endpoint.labels,
            service=service,
            address=endpoint.address,
        )
    simulation.run_for(3_000)


@behave.when("all endpoints are replaced by others")
def when_all_replaced(context):
    _replace_all(context, cells_work.SERVICE)


@behave.when("all endpoints are replaced by those of another service")
def when_all_replaced_by_service(context):
    _replace_all(context, "another")


@behave.then(
    "each endpoint started at least {count:d} tasks in the last {span_s:d} s "
    "of them"
)
def then_all_used(context, count, span_s):
    simulation = context.simulation
    last_ms = max(
        simulation.submitted_ms_by_job[job_id]
        for job_ids in context.job_ids_by_image.values()
        for job_id in job_ids
    )
    starts = [
        endpoint_id
        for task_id, _run, endpoint_id in simulation.starts
        if last_ms - span_s * 1_000
        <= simulation.start_ms_by_task[task_id]
        <= last_ms
    ]
    count_by_id = collections.Counter(starts)
    assert all(
        count_by_id[endpoint_id] >= count
        for endpoint_id in simulation.endpoint_by_id
    ), count_by_id


@behave.when(
    "jobs of {kind} tasks of {usual_ms:d} ms come for {span_s:d} s at "
    "{percent:d} percent of the room"
)
def when_kind_come(context, kind, usual_ms, span_s, percent):
    cores = 4 * len(context.simulation.endpoint_by_id)
    context.job_ids = _submit_stream(
        context,
        "a",
        gap_ms=usual_ms * JOB_TASKS / (cores * percent / 100),
        span_ms=span_s * 1_000,
        bias=1.0,
        spread=0.0,
        job_spread=0.0,
        usual_ms=usual_ms,
        speculative=kind == "speculative",
    )
    _run_until_done(context, span_s)


@behave.then("no job took longer than {max_ms:d} ms")
def then_no_longer(context, max_ms):
    simulation = context.simulation
    longest_ms = max(map(simulation.elapsed_ms, context.job_ids))
    assert longest_ms <= max_ms, longest_ms


@behave.then("at most {count:d} more runs than tasks were started")
def then_few_starts(context, count):
    simulation = context.simulation
    extra = len(simulation.starts) - len(simulation.start_ms_by_task)
    assert extra <= count, extra
