"""A real process that gets signals while it stops.

Guards against requests without an answer, because a supervisor or an operator sends SIGTERM again.
"""

import concurrent.futures
import signal
import subprocess
import time
import unittest

import single_process
from single_process import Process

RUN_MS = 1500
END_LIMIT_S = 5


class SignalTest(unittest.TestCase):
    def start(self):
        self.process = Process(subprocess.PIPE)
        self.addCleanup(self.process.stop)
        self.addCleanup(self.process.process.stdout.close)
        self.process.wait_until_ready()

    def signal(self, *numbers):
        for number in numbers:
            self.process.process.send_signal(number)
            time.sleep(0.2)

    def answer_during(self, *numbers):
        """The answer to a caller whose job runs while the process gets these signals."""
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            future = pool.submit(self.process.submit, RUN_MS)
            time.sleep(0.5)
            self.signal(*numbers)
            return future.result()[0]

    def test_further_sigterm(self):
        """Guards against an end at the second SIGTERM while a caller waits for its answer."""
        self.start()
        answer = self.answer_during(signal.SIGTERM, signal.SIGTERM, signal.SIGTERM)
        self.assertEqual(answer, (200, "complete"))
        self.assertEqual(self.process.process.wait(END_LIMIT_S), 0)

    def test_sigterm_and_sigint(self):
        """Guards against an end because both signals are sent once, in either order."""
        for numbers in ((signal.SIGTERM, signal.SIGINT), (signal.SIGINT, signal.SIGTERM)):
            with self.subTest(numbers=numbers):
                self.start()
                self.assertEqual(self.answer_during(*numbers), (200, "complete"))
                self.assertEqual(self.process.process.wait(END_LIMIT_S), 0)

    def test_sigterm_until_the_end(self):
        """Guards against an end by the signal, without the last log line, late in a shutdown."""
        for _ in range(5):
            self.start()
            begin = time.monotonic()
            while self.process.process.poll() is None and time.monotonic() - begin < END_LIMIT_S:
                self.process.process.send_signal(signal.SIGTERM)
                time.sleep(0.0005)
            self.assertEqual(self.process.process.wait(END_LIMIT_S), 0)
            lines = self.process.process.stdout.read().decode()
            self.assertEqual(lines.count(" name=process_stopping "), 1)
            self.assertEqual(lines.count(" name=process_stopped "), 1)

    def test_second_sigint(self):
        """Guards against a process that cannot be interrupted at a terminal."""
        self.start()
        begin = time.monotonic()
        answer = self.answer_during(signal.SIGINT, signal.SIGINT)
        self.assertLess(time.monotonic() - begin, RUN_MS / 1000)
        self.assertNotEqual(answer, (200, "complete"))
        # The kernel may take seconds to remove an ended process when many processes end.
        self.process.process.wait(END_LIMIT_S)
        lines = self.process.process.stdout.read().decode()
        self.assertEqual(lines.count(" name=process_stopped "), 1)


if __name__ == "__main__":
    single_process.main("signals")
