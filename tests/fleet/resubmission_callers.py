"""Callers that hand one job in at several entries, for resubmission_test.py."""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
import time

from forwarded_fleet import fleet, http

CALLERS_PER_ENTRY = 7
DEADLINE_S = 1.5
# Some callers wait long enough for the longest runs.
PATIENT_SHARE = 0.2
PATIENT_DEADLINE_S = 4.0
RESEND_S = 1.3
ATTEMPTS = 3
PAUSE_AFTER_REFUSAL_S = 0.2
# Callers that give up early, and seconds that they wait.
GIVE_UP_SHARE = 0.5
GIVE_UP_S = (0.2, 1.0)
NO_ANSWER = (0, -1, 502, 504)


@dataclasses.dataclass(frozen=True)
class JobClass:
    """Kind of job of the site caatinga-sched; `share` of the jobs is chosen for the test."""

    name: str
    path_prefix: str
    tasks: int
    mean_ms: float
    max_ms: float
    share: float

    # Standard deviation of the logarithm of the run time; an eighth of the runs of order-confirm
    # takes over 1.5 s.
    SPREAD = 0.6

    def route(self):
        """Each class has a route of its own, since entries learn run times by route."""
        return fleet.Fleet.route(self.name, self.path_prefix)

    def draw(self, random_numbers):
        """A job whose run time has this mean, but for the longest ones."""
        run_ms = min(self.max_ms, random_numbers.lognormvariate(
            math.log(self.mean_ms) - self.SPREAD ** 2 / 2, self.SPREAD))
        estimate_ms = self.mean_ms * random_numbers.uniform(0.6, 1.4)
        return fleet.job(self.tasks, max(1, int(run_ms)), int(estimate_ms))


ORDER_CONFIRM = JobClass("order-confirm", "/lohu930/", 4, 900, 3600, 0.35)
CLASSES = (ORDER_CONFIRM, JobClass("stock-hold", "/pufi791/", 2, 200, 800, 0.35),
           JobClass("price-quote", "/pule252/", 8, 60, 240, 0.3))


class Callers:
    """Callers at the balancers; a job without a clear answer is handed in at the next entry."""

    def __init__(self, system, record, seed):
        self.system = system
        self.record = record
        self.impatience = 0
        self.stopping = asyncio.Event()
        self.answers = collections.Counter()
        # How the requests for a job ended that got no clear answer, by job.
        self.unanswered = collections.defaultdict(list)
        # Time at which a job was begun, its class, and whether it was served.
        self.jobs = []
        entries = system.names("entry")
        self.tasks = [
            asyncio.create_task(self.call(entries, index, number,
                                          random.Random(f"{seed}-{index}-{number}")))
            for index in range(len(entries)) for number in range(CALLERS_PER_ENTRY)]

    async def stop(self):
        self.stopping.set()
        await asyncio.gather(*self.tasks)

    @contextlib.contextmanager
    def impatient(self):
        """Meanwhile some callers give up early."""
        self.impatience += 1
        try:
            yield
        finally:
            self.impatience -= 1

    async def call(self, entries, index, number, random_numbers):
        for count in range(1, 1 << 32):
            if self.stopping.is_set():
                return
            job_class = random_numbers.choices(CLASSES, [each.share for each in CLASSES])[0]
            begun = time.monotonic()
            status = await self.hand_in(f"{index:02x}{number:02x}{count:012x}", job_class,
                                        entries[index:] + entries[:index], random_numbers)
            self.jobs.append((begun, job_class.name, status == 200))
            if status != 200:
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)

    async def hand_in(self, job_id, job_class, entries, random_numbers):
        body = job_class.draw(random_numbers)
        patient = random_numbers.random() < PATIENT_SHARE
        deadline_s = PATIENT_DEADLINE_S if patient else DEADLINE_S
        status = -1
        for attempt in range(ATTEMPTS):
            gives_up = self.impatience > 0 and random_numbers.random() < GIVE_UP_SHARE
            wait_s = random_numbers.uniform(*GIVE_UP_S) if gives_up else deadline_s
            status = await self.submit(entries[attempt % len(entries)],
                                       job_class.path_prefix + job_id, body, wait_s, deadline_s)
            end = "gave up" if status == -1 and gives_up else self.name_of(status)
            self.answers[end] += 1
            if status not in NO_ANSWER:
                return status
            self.unanswered[job_id].append(end)
            await asyncio.sleep(RESEND_S)
        return status

    @staticmethod
    def name_of(status):
        return {0: "connection broke", -1: "no answer in time"}.get(status, str(status))

    async def submit(self, entry, path, body, wait_s, deadline_s):
        self.record("client-post", path=path, entry=entry)
        headers = {"Host": fleet.HOST, "Greengagehead-Deadline-Ms": str(int(deadline_s * 1000))}
        status, _, _ = await http.call(self.system.front(entry), "POST", path, body, headers,
                                       timeout=wait_s)
        self.record("client-answer", path=path, entry=entry, status=status)
        return status

    async def cancel(self, entry, job_id):
        status, _, _ = await http.call(
            self.system.front(entry), "DELETE", ORDER_CONFIRM.path_prefix + job_id, None,
            {"Host": fleet.HOST}, timeout=DEADLINE_S)
        self.record("client-delete", job=job_id, entry=entry, status=status)
        return status
