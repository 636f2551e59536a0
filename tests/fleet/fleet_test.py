"""Tests of real processes that are killed, frozen, wiped or shut down under load."""

import json
import shutil
import signal
import subprocess
import sys
import threading
import time
import unittest

from fleet import PROGRAM, TEAM_TOKEN, ZONES, Fleet, holds, quotes


class FleetTest(unittest.TestCase):
    def run(self, result=None):
        self.result = result
        return super().run(result)

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)

    def tearDown(self):
        if any(test is self for test, _ in self.result.failures + self.result.errors):
            self.fleet.copy_logs(self.id().rpartition(".")[2])

    def check_no_duplicate_starts(self):
        _, duplicates = self.fleet.starts()
        self.assertEqual(duplicates, 0)

    def test_answers_out_of_order_reach_their_callers(self):
        """Guards against answers that are assigned to requests by their order."""
        slow = self.fleet.submit_many("recife", "slow", 4, quotes(3, 900))
        fast = self.fleet.submit_many("recife", "fast", 4, quotes(3, 50))
        for prefix, futures in (("slow", slow), ("fast", fast)):
            for number, future in enumerate(futures):
                status, answer = future.result()
                self.assertEqual(status, 200)
                self.assertEqual(answer["submission"], f"{prefix}-{number}")
                self.assertEqual(answer["state"], "complete")
                for index, task in enumerate(answer["tasks"]):
                    self.assertEqual(task["result"]["echo"]["item"], index)

    def test_resubmission_to_every_entry_at_once(self):
        """Guards against two entries that both own the same submission."""
        tasks = holds(12, 300)
        replies = []
        threads = [threading.Thread(target=lambda z=zone: replies.append(
            self.fleet.submit(z, "same", tasks))) for zone in list(ZONES) * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({status for status, _ in replies}, {200})
        self.assertEqual(len({answer["job"] for _, answer in replies}), 1)
        self.assertTrue(all(answer["state"] == "complete" for _, answer in replies))
        self.assertEqual(self.fleet.starts(), (12, 0))

    def test_killed_entry(self):
        """Guards against lost jobs and duplicate holds when the owner of a job dies."""
        futures = self.fleet.submit_many("recife", "job", 6, holds(4, 1500) + quotes(2, 1500))
        self.fleet.wait_until(lambda: self.fleet.starts()[0] >= 20, 5)
        self.fleet.kill("recife-entry")
        killed = time.monotonic()
        for future in futures:
            self.assertEqual(future.result()[0], 0)
        for number in range(6):
            tasks = holds(4, 1500) + quotes(2, 1500)
            answer = {}

            def finished():
                nonlocal answer
                status, answer = self.fleet.submit("salvador", f"job-{number}", tasks, 4000)
                return status == 200
            self.fleet.wait_until(finished, 15)
            self.assertEqual(answer["state"], "complete", answer)
        self.assertLess(time.monotonic() - killed, 8)
        duplicate_starts = self.fleet.starts()[1]
        self.assertLessEqual(duplicate_starts, 12, "only the quotes may run again")

    def test_killed_leader(self):
        """Guards against lost settings and a fleet that accepts no jobs after its leader is killed."""
        path = "/v1/config/teams/hospital/weight"
        for value in range(1, 21):
            self.assertEqual(self.fleet.call("recife", "PUT", path, value)[0], 200)
        leader = self.fleet.leader_zone()
        self.fleet.kill(f"{leader}-control")
        zone = next(z for z in ZONES if z != leader)
        begin = time.monotonic()
        status, answer = self.fleet.submit(zone, "after", holds(4, 100))
        self.assertEqual((status, answer.get("state")), (200, "complete"))
        self.assertLess(time.monotonic() - begin, 4)
        self.assertEqual(self.fleet.call(zone, "GET", path)[1]["value"], 20)
        self.assertEqual(self.fleet.call(zone, "GET", path)[1]["version"], 20)
        self.check_no_duplicate_starts()

    def test_wiped_member_then_another_lost(self):
        """Guards against a wiped member that votes as before, and a repair that does not restore
        the tolerance of one lost member."""
        path = "/v1/config/teams/hospital/quota_slots"
        for value in range(1, 11):
            self.assertEqual(self.fleet.call("recife", "PUT", path, value)[0], 200)
        leader = self.fleet.leader_zone()
        wiped, other = [zone for zone in ZONES if zone != leader]
        self.fleet.kill(f"{wiped}-control")
        shutil.rmtree(self.fleet.data_folder(wiped))
        self.fleet.start(f"{wiped}-control")

        def repaired():
            status, body = self.fleet.call(leader, "GET", "/v1/control")
            return status == 200 and len(body["members"]) == 3 and all(
                member["voter"] and member["reachable"] for member in body["members"])
        # Until the leader detects the loss, all members are reported as healthy.
        self.fleet.wait_until(lambda: not repaired(), 5)
        self.fleet.wait_until(repaired, 15)
        self.fleet.kill(f"{other}-control")
        status, body = self.fleet.call(leader, "PUT", path, 11)
        self.assertEqual((status, body.get("version")), (200, 11))

    def test_zone_out_with_frozen_agent(self):
        """Guards against a task start in a zone after its removal was acknowledged."""
        stop = threading.Event()

        def load():
            number = 0
            while not stop.is_set():
                self.fleet.submit("fortaleza", f"load-{threading.get_ident()}-{number}",
                                  quotes(8, 100), 5000, 5000)
                number += 1
        threads = [threading.Thread(target=load) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        self.fleet.signal("recife-agent-1", signal.SIGSTOP)
        begin = time.monotonic()
        status, _ = self.fleet.call("salvador", "PUT", "/v1/zones/recife", {"state": "out"})
        removal_seconds = time.monotonic() - begin
        self.assertEqual(status, 200)
        before = self.fleet.starts("recife")[0]
        self.fleet.signal("recife-agent-1", signal.SIGCONT)
        time.sleep(2)
        after = self.fleet.starts("recife")[0]
        stop.set()
        for thread in threads:
            thread.join()
        self.assertEqual(after, before)
        self.assertLess(removal_seconds, 4)
        self.assertEqual(self.fleet.call("salvador", "PUT", "/v1/zones/recife",
                                         {"state": "in"})[0], 200)

    def test_entry_shutdown_under_load(self):
        """Guards against requests that a graceful shutdown leaves without an answer."""
        futures = self.fleet.submit_many("recife", "late", 12, holds(3, 1200))
        self.fleet.wait_until(lambda: self.fleet.starts()[0] >= 12, 5)
        self.fleet.signal("recife-entry", signal.SIGTERM)
        # The signal is handled with a delay. The load balancer checks readiness once a second.
        self.fleet.wait_until(lambda: self.fleet.call("recife", "GET", "/readyz")[0] == 503, 1)
        for future in futures:
            status, answer = future.result()
            self.assertEqual((status, answer.get("state")), (200, "complete"))
        self.assertEqual(self.fleet.processes["recife-entry"].wait(20), 0)
        self.assertEqual(self.fleet.starts(), (36, 0))

    def test_entry_ends_with_unfinished_job(self):
        """Guards against connections that the shutdown limit closes without an answer."""
        self.fleet.kill("recife-entry")
        self.fleet.start("recife-entry",
                         "\n[timing]\nleave_delay_ms = 300\nshutdown_limit_ms = 1500\n")
        self.fleet.wait_until(self.fleet.ready, 15)
        futures = self.fleet.submit_many("recife", "long", 3, quotes(2, 6000))
        self.fleet.wait_until(lambda: self.fleet.starts()[0] >= 6, 5)
        self.fleet.signal("recife-entry", signal.SIGTERM)
        for future in futures:
            status, answer = future.result()
            self.assertEqual((status, answer.get("state")), (202, "running"))
        self.assertEqual(self.fleet.processes["recife-entry"].wait(5), 0)

    def test_agent_shutdown_under_load(self):
        """Guards against tasks that are lost when an agent is restarted."""
        futures = self.fleet.submit_many("recife", "agent", 12, holds(3, 800))
        self.fleet.wait_until(lambda: self.fleet.starts()[0] >= 12, 5)
        self.fleet.signal("fortaleza-agent-1", signal.SIGTERM)
        for future in futures:
            status, answer = future.result()
            self.assertEqual((status, answer.get("state")), (200, "complete"))
        self.assertEqual(self.fleet.processes["fortaleza-agent-1"].wait(20), 0)
        self.check_no_duplicate_starts()

    def run_program(self, *arguments):
        """Runs a verb of the command line. Returns its exit code, output and error output."""
        ended = subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, timeout=30,
                               check=False)
        return ended.returncode, ended.stdout, ended.stderr

    def test_command_line_waits_and_checks_its_options(self):
        """Guards against options that the usage text names and the program ignores."""
        status, answer = self.fleet.submit("recife", "waited", quotes(2, 800), wait_ms=0)
        self.assertEqual(status, 202)
        entry = f"http://127.0.0.1:{ZONES['recife'] + 2}"
        code, output, _ = self.run_program("job", answer["job"], "--wait", "10s", "--entry", entry,
                                           "--token", TEAM_TOKEN)
        self.assertEqual((code, json.loads(output)["state"]), (0, "complete"))
        code, _, error = self.run_program("job", answer["job"], "--wait", "soon", "--entry", entry)
        self.assertEqual((code, "--wait must be" in error), (2, True))
        code, _, error = self.run_program("run", "--log-level", "loud")
        self.assertEqual((code, "--log-level must be" in error), (2, True))

    def test_deeply_nested_requests(self):
        """Guards against one request that ends a process, at one entry or agent after another."""
        nested = b"[" * 200_000 + b"]" * 200_000
        job = b'{"submission": "deep", "team": "hospital", "tasks": [{"kind": "quote", "payload": '
        for zone, base_port in ZONES.items():
            status, answer = self.fleet.call(zone, "POST", "/v1/jobs", job + nested + b"}]}",
                                             TEAM_TOKEN)
            self.assertEqual((status, answer["error"]["ran"]), (400, "none"))
            status, _ = self.fleet.call(zone, "PUT", "/v1/config/limits/max_running_jobs",
                                        b'{"value": ' + nested + b"}")
            self.assertEqual(status, 400)
            status, _ = self.fleet.call_port(base_port + 3, "POST", "/v1/announce",
                                             b'{"name": "deep", "url": ' + nested + b"}")
            self.assertEqual(status, 400)
        ended = [name for name, process in self.fleet.processes.items()
                 if process.poll() is not None]
        self.assertEqual(ended, [])
        status, answer = self.fleet.submit("recife", "after", quotes(2, 50))
        self.assertEqual((status, answer.get("state")), (200, "complete"))


if __name__ == "__main__":
    result = unittest.main(verbosity=2, exit=False).result
    failed = len(result.failures) + len(result.errors)
    print(f"fleet: {result.testsRun - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)
