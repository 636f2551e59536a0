"""A real process that gets SIGTERM just after its start, or while requests to control wait.

Guards against requests that the process has read and never answers.
"""

import concurrent.futures
import http.client
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import unittest

import single_process
from single_process import free_port, wait_until

SHUTDOWN_LIMIT_S = 1.5
STARTS = 20
CONTROL_ROUNDS = 5
CALLERS = 24
END_LIMIT_S = 10
ANSWER_LIMIT_S = 8


class Entry:
    """An entry without a control member."""

    def __init__(self, output):
        self.folder = tempfile.TemporaryDirectory()
        self.http_port = free_port()
        path = pathlib.Path(self.folder.name) / "settings.toml"
        path.write_text(
            'name = "alone"\nzone = "here"\nroles = ["entry"]\n'
            f'data = "{self.folder.name}/data"\n'
            f'controls = [{{ name = "absent", address = "127.0.0.1:{free_port()}" }}]\n'
            f'[entry]\nlisten = "127.0.0.1:{free_port()}"\nhttp = "127.0.0.1:{self.http_port}"\n'
            f'[timing]\nleave_delay_ms = 300\nshutdown_limit_ms = {SHUTDOWN_LIMIT_S * 1000:.0f}\n')
        self.process = subprocess.Popen([single_process.program, "run", "--config", path],
                                        stdout=output, stderr=subprocess.STDOUT,
                                        cwd=self.folder.name)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def listening(self):
        try:
            with socket.create_connection(("127.0.0.1", self.http_port), timeout=1):
                return True
        except OSError:
            return False

    def get(self, path):
        """Returns the status of the answer, or the error that ended the connection."""
        connection = http.client.HTTPConnection("127.0.0.1", self.http_port,
                                                timeout=ANSWER_LIMIT_S)
        try:
            connection.request("GET", path)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        finally:
            connection.close()


class ControlMember:
    """The only control member of a fleet, with the operator's interface of the platform."""

    def __init__(self, output):
        self.folder = tempfile.TemporaryDirectory()
        self.http_port = free_port()
        path = pathlib.Path(self.folder.name) / "settings.toml"
        path.write_text('name = "control"\nzone = "here"\nroles = ["control"]\n'
                        f'data = "{self.folder.name}/data"\n'
                        f'[control]\nlisten = "127.0.0.1:{free_port()}"\n'
                        f'[timing]\nshutdown_limit_ms = {SHUTDOWN_LIMIT_S * 1000:.0f}\n')
        self.process = subprocess.Popen(
            [single_process.program, "platform", "--config", path, "--control",
             f"127.0.0.1:{self.http_port}"],
            stdout=output, stderr=subprocess.STDOUT, cwd=self.folder.name)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def order(self, path):
        """Returns the status of the answer, or the error that ended the connection."""
        connection = http.client.HTTPConnection("127.0.0.1", self.http_port,
                                                timeout=ANSWER_LIMIT_S)
        try:
            connection.request("POST", path, body=b"")
            return connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        finally:
            connection.close()


class ShutdownReviewTest(unittest.TestCase):
    def start(self):
        self.log = tempfile.TemporaryFile()
        self.addCleanup(self.log.close)
        entry = Entry(self.log)
        self.addCleanup(entry.stop)
        return entry

    def test_read_of_control_at_the_limit(self):
        """Guards against a limit that cuts a request which waits for control."""
        entry = self.start()
        wait_until(entry.listening, "the entry does not listen")
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            answer = pool.submit(entry.get, "/v1/config/teams")
            time.sleep(0.5)
            entry.process.send_signal(signal.SIGTERM)
            self.assertIsInstance(answer.result(), int)
        self.assertEqual(entry.process.wait(END_LIMIT_S), 0)

    def test_orders_until_the_end_of_a_control_member(self):
        """Guards against orders of the operator that are decided and cut with the process."""
        cut = []
        for _ in range(CONTROL_ROUNDS):
            log = tempfile.TemporaryFile()
            self.addCleanup(log.close)
            member = ControlMember(log)
            self.addCleanup(member.stop)
            wait_until(lambda: member.order("/Evacuate.Finish/first") == 200, "no leader")
            answers = {}

            def send(caller):
                count = 0
                while member.process.poll() is None:
                    count += 1
                    path = f"/Evacuate.Finish/zone-{caller}-{count}"
                    answers[path] = member.order(path)

            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                futures = [pool.submit(send, caller) for caller in range(CALLERS)]
                time.sleep(0.3)
                member.process.send_signal(signal.SIGTERM)
                for future in futures:
                    future.result()
            self.assertEqual(member.process.wait(END_LIMIT_S), 0)
            log.seek(0)
            decided = set(re.findall(r"/Evacuate\.Finish/zone-\d+-\d+", log.read().decode()))
            self.assertTrue(decided)
            cut += [(path, answers[path]) for path in decided if not isinstance(answers[path], int)]
        self.assertEqual(cut, [])

    def test_sigterm_at_the_start(self):
        """Guards against an end by the signal after the first connections were accepted."""
        codes = []
        for _ in range(STARTS):
            entry = self.start()
            while not entry.listening():
                if entry.process.poll() is not None:
                    self.log.seek(0)
                    self.fail(self.log.read().decode())
            entry.process.send_signal(signal.SIGTERM)
            codes.append(entry.process.wait(END_LIMIT_S))
        self.assertEqual(codes, [0] * STARTS)


if __name__ == "__main__":
    single_process.main("shutdown review")
