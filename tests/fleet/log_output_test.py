"""Real processes whose standard output is not read, closed or on a full disk.

Guards against processes that stop, slow down or grow because their log is not taken, and against
gaps in the log that its reader cannot see. Ports are free ones.
"""

import os
import re
import signal
import statistics
import subprocess
import threading
import time
import unittest

import single_process
from single_process import Process

UNREAD_S = 20
# Requests by which a process has reached its usual times and memory.
WARM_UP_REQUESTS = 50
# Far above the difference between two processes side by side, far below that of a blocked one.
TIME_MARGIN_S = 0.02
MEMORY_MARGIN_KB = 8 * 1024
# The log waits 250 ms at the end of the process; see last_lines_limit.
END_LIMIT_S = 5


class Drain:
    """Reads a pipe on a thread until its end."""

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.text = b""
        self.thread = threading.Thread(target=self.read)
        self.thread.start()

    def read(self):
        while data := os.read(self.descriptor, 65536):
            self.text += data

    def lines(self):
        """All lines, once the pipe has ended."""
        self.thread.join()
        return self.text.decode("utf-8").splitlines()


class LogOutputTest(unittest.TestCase):
    def start(self, stdout, **options):
        process = Process(stdout, **options)
        self.addCleanup(process.stop)
        process.wait_until_ready()
        return process

    def pipe(self):
        """Returns the reading and the writing end of a pipe."""
        ends = os.pipe()
        for end in ends:
            self.addCleanup(self.close, end)
        return ends

    @staticmethod
    def close(descriptor):
        try:
            os.close(descriptor)
        except OSError:
            pass

    def check_answers(self, process, count):
        for _ in range(count):
            self.assertEqual(process.submit()[0], (200, "complete"))

    def end(self, process):
        process.process.send_signal(signal.SIGTERM)
        self.assertEqual(process.process.wait(END_LIMIT_S), 0)

    def test_pipe_that_nobody_reads(self):
        """Guards against a process that answers no more, slower, or with more and more memory."""
        reader, writer = self.pipe()
        flags = os.get_blocking(writer)
        unread = self.start(writer)
        usual = self.start(subprocess.DEVNULL)
        for process in (unread, usual):
            self.check_answers(process, WARM_UP_REQUESTS)
        memory = {process: process.memory_kb() for process in (unread, usual)}
        times = {unread: [], usual: []}
        begin = time.monotonic()
        while time.monotonic() - begin < UNREAD_S:
            for process in (unread, usual):
                answer, seconds = process.submit()
                self.assertEqual(answer, (200, "complete"), f"request {process.requests}")
                times[process].append(seconds)
        growth = {process: process.memory_kb() - memory[process] for process in (unread, usual)}
        medians = {process: statistics.median(times[process]) for process in (unread, usual)}
        print(f"{len(times[unread])} requests each: median {medians[unread] * 1000:.1f} ms unread, "
              f"{medians[usual] * 1000:.1f} ms usual; longest {max(times[unread]) * 1000:.0f} ms "
              f"and {max(times[usual]) * 1000:.0f} ms; memory +{growth[unread]} KiB "
              f"and +{growth[usual]} KiB; {unread.dropped_lines()} lines dropped")
        self.assertLess(medians[unread], medians[usual] + TIME_MARGIN_S)
        self.assertLess(growth[unread], growth[usual] + MEMORY_MARGIN_KB)
        self.assertGreater(unread.dropped_lines(), 0)
        self.assertEqual(os.get_blocking(writer), flags, "the pipe of the parent is changed")

        # The reader is back: the log tells the gap, and goes on to its last line.
        drain = Drain(reader)
        time.sleep(0.5)
        self.check_answers(unread, 5)
        dropped = unread.dropped_lines()
        self.end(unread)
        os.close(writer)
        lines = drain.lines()
        self.assertTrue(all(re.match(r"time=\S+ level=\w+ event=\d{4} name=\w+", line)
                            for line in lines))
        jobs = [int(re.search(r" submission=job-(\d+)", line).group(1)) for line in lines
                if " name=job_finished " in line]
        self.assertEqual(jobs, sorted(jobs))
        self.assertIn(unread.requests, jobs)
        notices = [int(re.search(r" lines=(\d+)", line).group(1)) for line in lines
                   if " name=log_lines_dropped " in line]
        self.assertEqual(sum(notices), dropped)
        self.assertEqual(sum(" name=process_stopped " in line for line in lines), 1)

    def test_end_while_nobody_reads(self):
        """Guards against a process that does not end because its last lines are not taken."""
        _, writer = self.pipe()
        process = self.start(writer)
        while process.dropped_lines() == 0:
            self.check_answers(process, 20)
        self.end(process)

    def test_pipe_without_a_reader(self):
        """Guards against an end of the process with the reader of its log."""
        reader, writer = self.pipe()
        process = self.start(writer)
        os.close(writer)
        os.close(reader)
        self.check_answers(process, 20)
        self.assertGreater(process.dropped_lines(), 0)
        self.end(process)

    def test_full_disk(self):
        """Guards against an end or a standstill because the log cannot be stored."""
        with open("/dev/full", "wb") as full:
            process = self.start(full)
        self.check_answers(process, 20)
        self.assertGreater(process.dropped_lines(), 0)
        self.end(process)

    def test_closed_standard_output(self):
        """Guards against log lines in the file or socket that takes the place of descriptor 1."""
        process = self.start(None, preexec_fn=lambda: os.close(1))
        self.check_answers(process, 20)
        self.assertEqual(os.readlink(f"/proc/{process.process.pid}/fd/1"), "/dev/null")
        self.end(process)
        for file in process.data.rglob("*"):
            if file.is_file():
                self.assertNotIn(b"name=job_accepted", file.read_bytes(), file)


if __name__ == "__main__":
    single_process.main("log output")
