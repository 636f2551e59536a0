"""A real process that reaches the limit of its shutdown while callers wait and others still come.

Guards against requests that the process has read and never answers.
"""

import concurrent.futures
import re
import signal
import tempfile
import threading
import time
import unittest

import single_process
from single_process import Process, wait_until

LEAVE_DELAY_S = 0.3
SHUTDOWN_LIMIT_S = 1.5
TIMING = (f"[timing]\nleave_delay_ms = {LEAVE_DELAY_S * 1000:.0f}\n"
          f"shutdown_limit_ms = {SHUTDOWN_LIMIT_S * 1000:.0f}\n")
WAITING_CALLERS = 64
CALLERS = 24
RUN_MS = 6000
END_LIMIT_S = 10


class ShutdownTest(unittest.TestCase):
    def start(self):
        self.log = tempfile.TemporaryFile()
        self.addCleanup(self.log.close)
        self.process = Process(self.log, settings=TIMING)
        self.addCleanup(self.process.stop)
        self.process.wait_until_ready()

    def decided_submissions(self):
        """The submissions that the process has accepted or refused."""
        self.log.seek(0)
        lines = self.log.read().decode()
        return set(re.findall(r" name=job_(?:accepted|refused) .*?submission=(\S+)", lines))

    def check_end(self):
        self.assertEqual(self.process.process.wait(END_LIMIT_S), 0)

    def test_stall_across_the_limit(self):
        """Guards against a limit that ends a delayed event loop before its last answers."""
        self.start()
        with concurrent.futures.ThreadPoolExecutor(WAITING_CALLERS) as pool:
            futures = [pool.submit(self.process.submit, RUN_MS) for _ in range(WAITING_CALLERS)]
            wait_until(lambda: len(self.decided_submissions()) == WAITING_CALLERS,
                       "not all callers wait")
            self.process.process.send_signal(signal.SIGTERM)
            time.sleep(SHUTDOWN_LIMIT_S - 0.6)
            self.process.process.send_signal(signal.SIGSTOP)
            time.sleep(0.8)
            self.process.process.send_signal(signal.SIGCONT)
            answers = [future.result()[0] for future in futures]
        self.assertEqual([answer for answer in answers if answer[0] == 0], [])
        self.check_end()

    def test_requests_until_the_end(self):
        """Guards against requests that are read in the last moment and cut with the process."""
        for _ in range(5):
            self.start()
            answers = {}
            lock = threading.Lock()

            def send():
                while self.process.process.poll() is None:
                    name, answer, _ = self.process.submit_named()
                    with lock:
                        answers[name] = answer

            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                futures = [pool.submit(send) for _ in range(CALLERS)]
                time.sleep(0.2)
                self.process.process.send_signal(signal.SIGTERM)
                for future in futures:
                    future.result()
            self.check_end()
            decided = self.decided_submissions()
            self.assertGreater(len(decided), CALLERS)
            self.assertEqual([name for name in decided if answers[name][0] == 0], [])


if __name__ == "__main__":
    single_process.main("shutdown")
