"""Workers crash and start again; some answers of a new life arrive after later ones."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import fleet

CALLERS_PER_ENTRY = 7
DEADLINE_MS = 1500
RUN_MS = 200
CRASHES = 22
DOWN_S = 0.3
# From the start of a life to its first heartbeat.
REGISTER_S = 0.03
# The agent gives a call 120 ms, so every answer below arrives in time.
LATEST_ANSWER_S = 0.1
WARM_UP_S = 0.5


async def case(system, record, trouble):
    check = fleet.TwiceCheck(system, record)
    load = fleet.Load(system, record, CALLERS_PER_ENTRY, fleet.job(2, RUN_MS), DEADLINE_MS)
    await asyncio.sleep(2)
    random_numbers = random.Random(28)
    agents = system.names("agent")
    for number in range(CRASHES):
        if check.found:
            break
        worker = system.workers[agents[number % len(agents)]]
        if trouble:
            worker.crash()
        await asyncio.sleep(DOWN_S)
        # Answers are as late without the crash.
        worker.answer_delay = lambda: random_numbers.uniform(0, LATEST_ANSWER_S)
        if trouble:
            worker.register_s = REGISTER_S
            await worker.start(f"i-{0x100 + number:08x}")
        await asyncio.sleep(WARM_UP_S)
        worker.answer_delay = lambda: 0.0
        await asyncio.sleep(1.0)
    await load.stop()
    return bool(check.found)


fleet.main(pathlib.Path(__file__).parent, case, agents=(4, 4, 3))
