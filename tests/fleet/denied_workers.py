"""Stand-in workers that answer as if they were another incarnation, while their runs go on."""

import asyncio
import math
import time

from unlisted_runs import UnlistedRunsFleet, UnlistedRunsWorker, http

EXPECTED_INSTANCE = "greengagehead-expect-instance"


class DeniedWorker(UnlistedRunsWorker):
    """Nothing but what it says of itself changes; a new life begins without any of it."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        # PROTOCOL.md promises `born` in lists of runs, not in answers to orders.
        self.names_start_in_lists_only = False
        self.forget_troubles()

    def forget_troubles(self):
        # Until when calls are answered with 421, how many of them, and whether only those that name
        # an id are.
        self.denies_until = 0.0
        self.denials_left = 0
        self.denies_named_only = False
        # The former id, and until when it is accepted beside the present one.
        self.former_id = ""
        self.former_until = 0.0
        # When heartbeats go on as usual after one that was held back.
        self.beats_resumed_at = 0.0
        # Returns `born` for one answer, or None to leave it out.
        self.born_in_answer = lambda born: born

    async def start(self, worker_id):
        self.forget_troubles()
        await super().start(worker_id)
        self.beats_resumed_at = time.monotonic() + self.register_s

    # --- denials ---

    def deny(self, seconds, calls=math.inf, named_only=False):
        self.record("deny", worker=self.name, id=self.id, ms=int(seconds * 1000), calls=calls,
                    named_only=named_only, running=len(self.running))
        self.denies_until = time.monotonic() + seconds
        self.denials_left = calls
        self.denies_named_only = named_only

    def denies(self, named):
        if time.monotonic() >= self.denies_until or self.denials_left <= 0:
            return False
        if self.denies_named_only and not named:
            return False
        self.denials_left -= 1
        return True

    # --- ids ---

    def rename(self, worker_id, beat_after_s, former_accepted_s):
        """This life is called by another id from now on; the next heartbeat says so."""
        self.record("rename", worker=self.name, id=self.id, next=worker_id,
                    beat_after_s=f"{beat_after_s:.3f}",
                    former_accepted_s=f"{former_accepted_s:.3f}", running=len(self.running))
        self.former_id, self.id = self.id, worker_id
        self.former_until = time.monotonic() + former_accepted_s
        self.beats_resumed_at = time.monotonic() + beat_after_s
        self.beats.cancel()
        self.beats = asyncio.create_task(self.send_beats_after(beat_after_s))

    async def send_beats_after(self, seconds):
        await asyncio.sleep(seconds)
        await self.send_beats()

    # --- calls of the agent ---

    async def handle(self, method, path, headers, body):
        reply = await super().handle(method, path, headers, body)
        born = self.born_in_answer(reply.body["born"])
        if born is None or self.names_start_in_lists_only and "running" not in reply.body:
            del reply.body["born"]
        else:
            reply.body["born"] = born
        return reply

    async def answer(self, method, path, headers, body):
        named = headers.get(EXPECTED_INSTANCE, "")
        if self.up and method == "POST" and self.denies(named):
            return http.Reply(421)
        if named and named == self.former_id and time.monotonic() < self.former_until:
            headers = {**headers, EXPECTED_INSTANCE: self.id}
        return await super().answer(method, path, headers, body)


class DeniedWorkersFleet(UnlistedRunsFleet):
    """The review's fleet with these workers."""

    WORKER = DeniedWorker
