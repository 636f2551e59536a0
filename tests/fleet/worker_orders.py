"""Orders to a stand-in worker that are lost, or carried out seconds after they were sent."""

import asyncio
import contextlib
import json
import time

from lib import http

START, STOP, RENEWAL = "/run-start", "/run-stop", "/hold"


class WorkerOrders:
    """Orders to one worker, whichever life it has when they are carried out."""

    def __init__(self, worker, record, random_numbers):
        self.worker = worker
        self.record = record
        self.random = random_numbers
        # Share of the orders that get no answer and are carried out late, by path.
        self.late_shares = {}
        # Share of the orders that get no answer and are not carried out, by path.
        self.lost_shares = {}
        self.late_s = (0.0, 0.0)
        self.stops_withheld = False
        self.withheld = []
        self.carry_out = worker.answer
        # Tasks of late orders, with the time at which the order was sent.
        self.pending = {}
        worker.answer = self.answer

    async def answer(self, method, path, headers, body):
        order = (method, path, headers, body)
        if path == STOP and self.stops_withheld:
            self.withheld.append(order)
            raise http.Silence
        lost_share = self.lost_shares.get(path, 0.0)
        if lost_share and self.random.random() < lost_share:
            raise http.Silence
        share = self.late_shares.get(path, 0.0)
        if share and self.random.random() < share:
            self.carry_out_later(order, self.random.uniform(*self.late_s))
            raise http.Silence
        return await self.carry_out(*order)

    def withhold_stops(self):
        self.record("stops-withheld", worker=self.worker.name)
        self.stops_withheld = True

    def release_stops(self, lost):
        """Orders to stop arrive again; those that were withheld are lost, or carried out now."""
        self.record("stops-released", worker=self.worker.name, withheld=len(self.withheld),
                    lost=lost)
        self.stops_withheld = False
        withheld, self.withheld = self.withheld, []
        for order in [] if lost else withheld:
            self.carry_out_later(order, 0.0)

    def hasten(self, share, least_s, within_s):
        """Carries out some of the orders that are late by `least_s` or more within this time."""
        now = time.monotonic()
        for order, sent, wake in list(self.pending.values()):
            if now - sent >= least_s and self.random.random() < share:
                asyncio.get_running_loop().call_later(self.random.uniform(0, within_s), wake.set)

    def carry_out_later(self, order, delay_s):
        wake = asyncio.Event()
        task = asyncio.create_task(self.later(order, wake, delay_s))
        self.pending[task] = (order, time.monotonic(), wake)
        task.add_done_callback(self.pending.pop)

    async def later(self, order, wake, delay_s):
        sent = time.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await wake.wait()
        if not self.worker.up:
            return
        _, path, _, body = order
        try:
            reply = await self.carry_out(*order)
        except http.Reply as early:
            reply = early
        # Renewals are left out, since there are many and they name no task.
        if path != RENEWAL:
            call = json.loads(body)
            self.record("late-order", worker=self.worker.name, path=path, task=call["task"],
                        run=call["run_id"], fence=call["fence_token"],
                        late_s=f"{time.monotonic() - sent:.2f}", status=reply.status,
                        reason=reply.body.get("reason", ""))
