"""One child process of a fleet, addressed by its process id only."""

import signal
import subprocess
import time

STOP_TIMEOUT_S = 30.0
POLL_S = 0.02


class FleetError(Exception):
    """A fleet that does not start or stop as it should."""


class ManagedProcess:
    """A process that the fleet started.

    :param name: name for messages and for its log file.
    :param command: program with its arguments.
    :param log_folder: folder of its log, ``NAME.log``.
    """

    def __init__(self, name, command, log_folder):
        self.name = name
        self.log_path = log_folder / f'{name}.log'
        self.out_path = log_folder / f'{name}.out'
        self._is_frozen = False
        self._may_end = False
        with self.log_path.open('ab') as log, self.out_path.open('wb') as out:
            self._process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=out, stderr=log
            )

    @property
    def pid(self):
        """Return the process id."""
        return self._process.pid

    @property
    def exit_code(self):
        """Return the exit code, or None while it runs."""
        return self._process.poll()

    def terminate(self):
        """Ask it to stop, without waiting for the end."""
        self._may_end = True
        self.resume()
        if self.exit_code is None:
            self._process.terminate()

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for its end and return the exit code.

        :raises FleetError: when it still runs after ``timeout_s``.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f'{self.name} still runs') from error

    def stop(self):
        """Ask it to stop, and kill it when it does not."""
        self.terminate()
        try:
            self.wait()
        except FleetError:
            self.kill()
            raise

    def kill(self):
        """End it at once, as a crash or a lost host does."""
        self._may_end = True
        if self.exit_code is None:
            self._process.kill()
            self._process.wait()

    def freeze(self):
        """Stop it with SIGSTOP; its connections stay open."""
        if self.exit_code is None:
            self._process.send_signal(signal.SIGSTOP)
            self._is_frozen = True

    def resume(self):
        """Continue it after :meth:`freeze`."""
        if self._is_frozen and self.exit_code is None:
            self._process.send_signal(signal.SIGCONT)
        self._is_frozen = False

    def read_first_line(self, timeout_s):
        """Return the first line that it printed.

        :raises FleetError: when it ended or printed nothing in time.
        """
        limit = time.monotonic() + timeout_s
        while time.monotonic() < limit:
            text = self.out_path.read_text()
            if '\n' in text:
                return text.splitlines()[0]
            self.check_running()
            time.sleep(POLL_S)
        raise FleetError(f'{self.name} printed nothing in {timeout_s} s')

    def check_running(self):
        """Raise :class:`FleetError` with the end of its log if it crashed."""
        if self.exit_code is not None and not self._may_end:
            tail = self.log_path.read_text(errors='replace')[-2000:]
            raise FleetError(
                f'{self.name} ended with code {self.exit_code}:\n{tail}'
            )
