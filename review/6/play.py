"""The connection of an answer is reset, so its caller sends the job again; the same job also arrives
at a third entry, seconds after its first 2xx response."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib2 import fleet, http  # noqa: E402
from lib2.forwarder import Forwarder  # noqa: E402

RESEND_S = 1.3
LATE_S = 1.4
JOBS = 4
TASKS, TASK_MS, DEADLINE_MS = 2, 350, 1500


async def play_job(system, record, forwarder, job):
    status = await system.submit("entry-0", job, TASKS, TASK_MS, DEADLINE_MS, via=forwarder.address)
    record("first answer", job=job, status=status)

    async def send_again():
        if status == 0:
            await asyncio.sleep(RESEND_S)
            await system.submit("entry-1", job, TASKS, TASK_MS, DEADLINE_MS)

    async def arrive_late():
        await asyncio.sleep(LATE_S)
        await system.submit("entry-2", job, TASKS, TASK_MS, DEADLINE_MS)

    await asyncio.gather(send_again(), arrive_late())


async def play(system, record, trouble):
    await asyncio.sleep(1)
    jobs = [fleet.new_id() for _ in range(JOBS)]
    front = system.machines["entry-0"].front
    port = fleet.free_ports(1)[0]
    forwarder = Forwarder(record, f"{http.split(front)[0]}:{port}", front)
    forwarder.reset_answers = trouble
    await forwarder.open()
    for job in jobs:
        await play_job(system, record, forwarder, job)
    forwarder.close()
    await asyncio.sleep(1)
    periods = [period for worker in system.workers.values() for period in worker.periods]
    return overlaps(record, [period for period in periods if period.task[:16] in jobs])


def overlaps(record, periods):
    longest = {}
    for first in periods:
        for second in periods:
            if first is second or first.task != second.task or first.began > second.began:
                continue
            both = min(first.ended, second.ended) - second.began
            if both > 0:
                longest[first.task] = max(longest.get(first.task, 0), both)
    record("summary", runs=len(periods), twice=len(longest))
    return [f"TWICE: {task} ran twice at the same time for {both * 1000:.0f} ms"
            for task, both in longest.items()]


sys.exit(fleet.main(pathlib.Path(__file__).parent, play))
