"""A heartbeat of another writer reaches an agent while tasks run on the worker beside it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import fleet, http

CALLERS_PER_ENTRY = 5
DEADLINE_MS = 1500
RUN_MS = 400


async def case(system, record, trouble):
    check = fleet.TwiceCheck(system, record)
    load = fleet.Load(system, record, CALLERS_PER_ENTRY, fleet.job(2, RUN_MS), DEADLINE_MS)
    await asyncio.sleep(2)
    if trouble:
        worker = system.workers[system.names("agent")[0]]
        odd = {**worker.beat(), "seq": 1, "service": "pool-7", "address": "127.71.9.9:8080",
               "machine": "m-other", "born": int(time.time() * 1000)}
        status, _, _ = await http.call(worker.control, "POST", "/Instances.Heartbeat/i-00c0ffee",
                                       odd)
        record("heartbeat-of-another-writer", agent=worker.name, service=odd["service"],
               status=status)
    await asyncio.sleep(12)
    await load.stop()
    return bool(check.found)


fleet.main(pathlib.Path(__file__).parent, case, agents=(4, 4, 3))
