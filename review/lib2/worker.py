"""A stand-in worker, as PROTOCOL.md has it: runs under a lease, ends in a list, a fencing token."""

import asyncio
import contextlib
import json
import time

from . import http

MAX_LEASE_MS = 1000
STOP_MS = 20
MAX_WAIT_MS = 2000
LISTED_ENDS = 500
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, task, number, work_s, now):
        self.task, self.number, self.work_s, self.began = task, number, work_s, now
        self.resumed = now
        self.ended = None
        self.stopping = None

    def percent(self, now):
        return min(99, int(100 * (now - self.began) / self.work_s))


class Worker:
    """`spec` of a task is JSON with `ms`, how long it works."""

    def __init__(self, record, name, machine, service, zone, rack):
        self.record, self.name, self.machine = record, name, machine
        self.service, self.zone, self.rack = service, zone, rack
        self.server = http.Server(machine.app, self.handle)
        self.id = f"i-{name}"
        self.cpu, self.mem_mb = 64000, 262144
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.runs, self.highest, self.ends = {}, {}, []
        # All runs that were started, also those that have ended.
        self.periods = []
        self.last_end = 0
        self.changed = asyncio.Event()
        self.beats = self.expiry = None
        # While the worker's machine is suspended, nothing runs and its steady clock stands still.
        self.awake = asyncio.Event()
        self.awake.set()
        self.woke = 0.0

    async def open(self):
        await self.server.open()
        self.beats = asyncio.create_task(self.send_heartbeats())
        self.expiry = asyncio.create_task(self.expire())

    def close(self):
        for task in (self.beats, self.expiry):
            if task:
                task.cancel()
        self.server.close()

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000) + 1000

    async def suspend(self, seconds):
        """The machine is suspended. Its steady clock doesn't count that time."""
        began = time.monotonic()
        self.record("suspended", worker=self.name, runs=len(self.runs))
        self.awake.clear()
        for run in self.runs.values():
            run.work.cancel()
            run.work_s -= began - run.resumed
        await asyncio.sleep(seconds)
        self.woke = time.monotonic()
        self.zero += self.woke - began
        for run in self.runs.values():
            run.resumed = self.woke
            run.work = asyncio.create_task(self.work(run))
        self.awake.set()
        self.record("awake", worker=self.name, runs=len(self.runs))

    # --- heartbeats ---

    def heartbeat(self):
        self.seq += 1
        return {"service": self.service, "address": self.machine.app, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
                "labels": ["a", self.rack], "clock_ms": self.clock_ms(), "seq": self.seq,
                "born": self.born}

    async def send_heartbeat(self):
        body = self.heartbeat()
        reply = await http.call("POST", self.machine.control, f"/Instances.Heartbeat/{self.id}",
                                body, timeout_s=1.0)
        self.record("heartbeat", worker=self.name, seq=body["seq"], state=body["state"],
                    status=reply.status)
        return reply.status

    async def send_heartbeats(self):
        while True:
            await self.awake.wait()
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """The planned end: what runs is ended with the worker."""
        self.beats.cancel()
        reply = await http.call("POST", self.machine.control, f"/Instances.Deregister/{self.id}",
                                None, timeout_s=1.0)
        self.record("deregister", worker=self.name, status=reply.status)
        for run in self.runs.values():
            run.ended = time.monotonic()
            run.work.cancel()
            self.record("lost", worker=self.name, task=run.task, run=run.number)
        self.runs.clear()
        self.close()

    def crash(self):
        """Ends at once; what runs is lost."""
        self.record("crash", worker=self.name, runs=len(self.runs))
        self.beats.cancel()
        self.server.close()
        for run in self.runs.values():
            run.ended = time.monotonic()
            run.work.cancel()
        self.runs.clear()

    async def start_again(self, first_calls):
        """The next life, under the same id. `first_calls` reach it before all others."""
        self.born, self.zero = int(time.time() * 1000), time.monotonic()
        self.seq = self.fence = self.lease_end = self.last_end = 0
        self.highest, self.ends = {}, []
        self.record("started again", worker=self.name)
        await first_calls()
        await self.server.open()
        self.beats = asyncio.create_task(self.send_heartbeats())

    # --- calls of the agent ---

    async def handle(self, method, path, headers, body):
        await self.awake.wait()
        if headers.get("greengagehead-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        order = json.loads(body or b"{}")
        reply = await self.carry_out(path, order)
        await self.awake.wait()
        return reply

    def reply(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    async def carry_out(self, path, order):
        token = order.get("fence_token", 0)
        if token < self.fence:
            return self.reply(409, reason="fence")
        self.fence = token
        if path == "/run-start":
            return self.start(order)
        if path == "/run-stop":
            return self.stop(order)
        if path == "/hold":
            return await self.hold(order)
        return self.reply(404)

    def extend(self, order):
        now = self.clock_ms()
        end = min(order.get("deadline_ms", 0), now + MAX_LEASE_MS)
        self.lease_end = max(self.lease_end, end)

    def start(self, order):
        task, number = order["task"], order["run_id"]
        known = self.runs.get(task)
        if known and known.number == number:
            return self.reply(200)
        if order["deadline_ms"] <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend(order)
        if known or number <= self.highest.get(task, 0):
            return self.reply(409, reason="old")
        self.highest[task] = number
        run = Run(task, number, json.loads(order["spec"])["ms"] / 1000, time.monotonic())
        self.runs[task] = run
        self.periods.append(run)
        run.work = asyncio.create_task(self.work(run))
        self.record("start", worker=self.name, task=task, run=number, state=self.state)
        return self.reply(200)

    async def work(self, run):
        await asyncio.sleep(run.work_s)
        self.end(run, "done")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        run.ended = time.monotonic()
        run.work.cancel()
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record("end", worker=self.name, task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def stop(self, order):
        task, number = order["task"], order["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, run,
                                                                 "stopped")
        return self.reply(200)

    async def hold(self, order):
        self.extend(order)
        seen = order.get("last_seen", 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        wait_ms = min(order.get("wait_ms", 0), MAX_WAIT_MS)
        if wait_ms and not self.ends:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self.changed.wait()
        now = time.monotonic()
        running = [[run.task, run.number, "", run.percent(now), 0] for run in self.runs.values()]
        return self.reply(200, running=running, ended_at=self.ends[:LISTED_ENDS])

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            if self.awake.is_set() and self.runs and self.clock_ms() >= self.lease_end:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
