"""One entry VM on loopback: real edge, runner pool and runner stand-ins."""

import random
import socket

import gevent

from features.support import requests as fakes
from samphiregate.adapters import edge
from samphiregate.adapters import http
from samphiregate.adapters import runners
from samphiregate.core import base
from samphiregate.core import fleet
from samphiregate.core import jobs
from samphiregate.core import model
from samphiregate.core import requests
from samphiregate.core import vm
from samphiregate import errors
from samphiregate import metrics
from samphiregate import timers
from standins import runner

VM_ID = "vm-0"
TICK_MS = 20
SOCKET_TIMEOUT_S = 10
WAITING_JOB = "waiting-job"


class HashedReplica(fakes.FakeReplica):
    """A replica whose keys are the teams' names."""

    def team_for_key_hash(self, key_hash):
        for team in self.configuration.teams_by_name:
            if hash_of(team) == key_hash and team not in self.withdrawn:
                return team
        return None


def hash_of(key):
    """Returns the hash that the edge makes of a key."""
    environ = {"HTTP_AUTHORIZATION": f"Bearer {key}"}
    return edge.key_hash(environ)


class FakeJobs(base.StateMachine):
    """Answers calls about jobs, those about `WAITING_JOB` when told to."""

    def __init__(self):
        self.waiting_ids = []

    def handle(self, event, now_ms):
        if isinstance(event, jobs.SubmitJob):
            view = self.view("job-1", event.spec)
            return [jobs.JobAnswer(event.call_id, (view,))]
        if getattr(event, "job_id", "") == WAITING_JOB:
            self.waiting_ids.append(event.call_id)
            return []
        if isinstance(event, (jobs.ShowJob, jobs.CancelJob)):
            refused = errors.ErrorCode.NOT_FOUND
            return [jobs.JobAnswer(event.call_id, error=refused)]
        if isinstance(event, jobs.ListJobs):
            return [jobs.JobAnswer(event.call_id, complete=False)]
        return []

    def view(self, job_id, spec):
        """Returns a job as it is shown."""
        return jobs.JobView(
            job_id=job_id,
            team=spec.team,
            work_class=spec.work_class,
            state=model.JobState.QUEUED,
            task_count=spec.task_count,
        )


class Site:
    """An entry VM and its runners; a context manager."""

    def __init__(self, runner_count=2, slots=8, **edge_params):
        self.replica = HashedReplica()
        self.tokens = fakes.FakeTokens()
        self.metrics = metrics.Metrics()
        membership = fakes.FakeMembership()
        membership.data_centre_by_vm[VM_ID] = fakes.DATA_CENTRE
        self.edge_machine = requests.RequestEdge(
            vm_id=VM_ID,
            data_centre=fakes.DATA_CENTRE,
            configuration_replica=self.replica,
            membership=membership,
            random_state=random.Random(1),
        )
        self.owner = requests.RunnerOwner(
            vm_id=VM_ID,
            data_centre=fakes.DATA_CENTRE,
            tokens=self.tokens,
            random_state=random.Random(2),
            shard_count=fakes.SHARD_COUNT,
        )
        self.jobs = FakeJobs()
        machines = (self.edge_machine, self.owner, self.jobs)
        self.vm = vm.EntryVm(vm_id=VM_ID, machines=machines)
        self.runners = [
            runner.Runner("127.0.0.1:0", slots=slots, work_ms=2)
            for _ in range(runner_count)
        ]
        self.pool = runners.RunnerPool(submit=self.submit)
        self.server = edge.EdgeServer(
            endpoint="127.0.0.1:0",
            submit=self.submit,
            vm_id=VM_ID,
            configuration_replica=self.replica,
            metrics=self.metrics,
            status=lambda: {"owner": self.owner.describe()},
            **edge_params,
        )
        self.timers = timers.TimerService()

    def __enter__(self):
        for served in self.runners:
            served.__enter__()
        self.server.__enter__()
        self.timers.__enter__()
        self.timers.every(TICK_MS, lambda _now: self.submit(base.Tick()))
        listed = {
            f"runner-{number}": model.RunnerInfo(
                runner_id=f"runner-{number}",
                service=fakes.SERVICE,
                data_centre=fakes.DATA_CENTRE,
                rack="rack-1",
                endpoint=served.endpoint,
                slots=served.slots,
            )
            for number, served in enumerate(self.runners)
        }
        self.submit(fleet.FleetListed({}, {}, listed))
        for number in range(fakes.SHARD_COUNT):
            shard = model.ShardId(fakes.DATA_CENTRE, number)
            self.submit(fleet.ShardGained(shard, 1))
        return self

    def __exit__(self, *exc_info):
        self.timers.__exit__()
        self.server.__exit__()
        self.pool.close()
        for served in self.runners:
            served.__exit__()

    def submit(self, event):
        """Hands an event to every machine and carries the actions out."""
        for action in self.vm.handle(event, timers.monotonic_ms()):
            self.pool.perform(action)
            self.server.perform(action)

    def call(self, method, path, body=b"", key="huts", **headers):
        """Makes one call over a new connection."""
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        with http.Client(self.server.endpoint, connections=1) as client:
            return client.request(method, path, body=body, headers=sent)

    def end_waits(self):
        """Answers the calls about `WAITING_JOB`."""
        spec = model.JobSpec(
            job_id=WAITING_JOB,
            team="huts",
            work_class=model.WorkClass.BATCH,
            task_count=1,
            resources=model.Resources(1),
        )
        for call_id in self.jobs.waiting_ids:
            view = self.jobs.view(WAITING_JOB, spec)
            self.server.perform(jobs.JobAnswer(call_id, (view,)))

    def connect(self):
        """Returns a new connection."""
        host, _colon, port = self.server.endpoint.rpartition(":")
        address = (host, int(port))
        return socket.create_connection(address, SOCKET_TIMEOUT_S)

    def idle_connections(self):
        """Returns how many connections wait for a request."""
        return self.server.describe()["idle_connections"]

    def bytes_being_read(self):
        """Returns the bytes that bodies being read may take."""
        return self.server.describe()["bytes_being_read"]

    def send_raw(self, data, half_close=True):
        """Sends bytes over a new connection and reads to the end."""
        with self.connect() as sock:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            received = b""
            while block := sock.recv(65_536):
                received += block
        return received

    def send_many(self, count, clients):
        """Sends distinct requests over kept connections.

        Returns
        -------
        dict
            Answer by the body that was sent.
        """
        answers_by_body = {}

        def send(number):
            with http.Client(self.server.endpoint, connections=1) as client:
                for index in range(number, count, clients):
                    body = b"body %d" % index
                    answers_by_body[body] = self.post(client, body)

        gevent.joinall([gevent.spawn(send, n) for n in range(clients)])
        return answers_by_body

    def send_each(self, bodies):
        """Sends each body at once over a connection of its own."""
        answers_by_body = {}

        def send(body):
            with http.Client(self.server.endpoint, connections=1) as client:
                answers_by_body[body] = self.post(client, body)

        gevent.joinall([gevent.spawn(send, body) for body in bodies])
        return answers_by_body

    def post(self, client, body):
        """Sends one request of team huts."""
        headers = {
            "Authorization": "Bearer huts",
            "Content-Type": "application/json",
        }
        path = "/v1/queues/holds/requests"
        return client.request("POST", path, body=body, headers=headers)
