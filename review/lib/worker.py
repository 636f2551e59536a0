"""Stand-in for a worker of the platform, as PROTOCOL.md describes it.

It checks fencing tokens, run numbers, leases and room before each start, keeps its ends until they
are taken note of, and reports to the agent beside it every `heartbeat_ms`. A run ends `done` after
the milliseconds that its `spec` names.
"""

import asyncio
import json
import time

from lib import http

MAX_HOLD_MS = 1000
STOP_GRACE_MS = 20
HEARTBEAT_MS = 1500
HEARTBEAT_TIMEOUT_S = 1.0
MAX_ENDS = 500


class Run:
    def __init__(self, task, number, body, begun, length_ms, cpu):
        self.task = task
        self.number = number
        self.body = body
        self.begun = begun
        self.length_ms = length_ms
        self.cpu = cpu


class Worker:
    """One worker at one address, across its lives. `record` gets every start and every end."""

    def __init__(self, name, app, control, service, zone, record, cpu=16000, task_cpu=1600):
        self.name = name
        self.app = app
        self.control = control
        self.service = service
        self.zone = zone
        self.record = record
        self.cpu = cpu
        self.task_cpu = task_cpu
        self.up = False
        self.state = "ready"
        self.server = None
        self.beats = None
        self.watch = None
        # What a case may change: seconds by which an answer is late, and seconds from the start of a
        # life to its first heartbeat.
        self.answer_delay = lambda: 0.0
        self.register_s = 0.0

    # --- lives ---

    async def start(self, worker_id):
        """Starts a life under this id. It knows nothing of an earlier one."""
        self.id = worker_id
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.ends = []
        self.end_count = 0
        self.barred = {}
        self.changed = asyncio.Event()
        host, port = self.app.rsplit(":", 1)
        self.server = http.Server(host, int(port), self.handle)
        await self.server.open()
        self.up = True
        self.record("worker-start", worker=self.name, id=self.id, born=self.born)
        self.beats = asyncio.create_task(self.send_beats())
        self.watch = asyncio.create_task(self.watch_runs())

    def crash(self):
        """Ends this life at once: what ran is gone, and connections are reset."""
        if not self.up:
            return
        self.up = False
        self.record("worker-crash", worker=self.name, id=self.id,
                    running=sorted(self.running))
        self.running = {}
        self.beats.cancel()
        self.watch.cancel()
        self.server.abort()

    # --- time and runs ---

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.record("end", worker=self.name, task=run.task, run=run.number, how=how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def watch_runs(self):
        while True:
            now = time.monotonic()
            for run in list(self.running.values()):
                if now >= run.begun + run.length_ms / 1000:
                    self.end(run, "done")
            if self.clock() >= self.lease_end:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            await asyncio.sleep(0.002)

    def extend(self, deadline_ms):
        capped = min(deadline_ms, self.clock() + MAX_HOLD_MS)
        self.lease_end = max(self.lease_end, capped)

    # --- calls of the agent ---

    async def handle(self, method, path, headers, body):
        reply = await self.answer(method, path, headers, body)
        reply.body["clock_ms"] = self.clock()
        reply.body["born"] = self.born
        reply.delay_s = self.answer_delay()
        if reply.status != 200:
            self.record("worker-answer", worker=self.name, id=self.id, path=path,
                        status=reply.status, reason=reply.body.get("reason", ""),
                        late_ms=int(reply.delay_s * 1000))
        return reply

    async def answer(self, method, path, headers, body):
        if method == "GET":
            return http.Reply(200)
        expected = headers.get("greengagehead-expect-instance")
        if expected and expected != self.id:
            return http.Reply(421)
        try:
            call = json.loads(body)
        except ValueError:
            return http.Reply(400)
        if call.get("fence_token", 0) < self.fence:
            return http.Reply(409, {"reason": "fence"})
        self.fence = call.get("fence_token", 0)
        if path == "/run-start":
            return self.run_start(call)
        if path == "/run-stop":
            return self.run_stop(call)
        if path == "/hold":
            return await self.hold(call)
        return http.Reply(404)

    def run_start(self, call):
        task, number = call["task"], call["run_id"]
        if call["deadline_ms"] <= self.clock():
            return http.Reply(409, {"reason": "late"})
        present = self.running.get(task)
        if present is not None and present.number == number:
            self.extend(call["deadline_ms"])
            return http.Reply(200)
        self.extend(call["deadline_ms"])
        if number <= self.barred.get(task, 0) or present is not None:
            return http.Reply(409, {"reason": "old"})
        if (len(self.running) + 1) * self.task_cpu > self.cpu:
            return http.Reply(409, {"reason": "room"})
        length_ms = json.loads(call["spec"])["run_ms"]
        self.running[task] = Run(task, number, call, time.monotonic(), length_ms, self.task_cpu)
        self.record("start", worker=self.name, id=self.id, task=task, run=number)
        return http.Reply(200)

    def run_stop(self, call):
        task, number = call["task"], call["run_id"]
        run = self.running.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_GRACE_MS / 1000, self.end, run, "stopped")
        self.barred[task] = max(self.barred.get(task, 0), number)
        return http.Reply(200)

    async def hold(self, call):
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > call.get("last_seen", 0)]
        wait_ms = min(call.get("wait_ms", 0), 2000)
        if wait_ms and not self.ends:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        rows = [[run.task, run.number, "",
                 min(99, int((now - run.begun) * 100_000 / max(run.length_ms, 1))), self.task_cpu]
                for run in self.running.values()]
        return http.Reply(200, {"running": rows, "ended_at": list(self.ends[:MAX_ENDS])})

    # --- heartbeats ---

    def beat(self):
        self.seq += 1
        return {"service": self.service, "address": self.app, "zone": self.zone, "version": "v1",
                "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpus": 0},
                "labels": ["a", "r1-1"], "machine": "m-" + self.name, "clock_ms": self.clock(),
                "born": self.born, "seq": self.seq}

    async def send_beats(self):
        await asyncio.sleep(self.register_s)
        while True:
            body = self.beat()
            status, _, _ = await http.call(self.control, "POST",
                                           f"/Instances.Heartbeat/{self.id}", body,
                                           timeout=HEARTBEAT_TIMEOUT_S)
            if body["seq"] == 1 or status != 200:
                self.record("heartbeat", worker=self.name, id=self.id, seq=body["seq"],
                            status=status)
            await asyncio.sleep(HEARTBEAT_MS / 1000)
