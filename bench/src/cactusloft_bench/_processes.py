"""Child processes of a fleet.

Signals go to the process id of the child, never to a name or a group.
"""

import signal
import subprocess
import time

STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
MAX_LOG_TAIL_CHARS = 2000


class FleetError(Exception):
    """The fleet failed to start, to stop or to reach an expected state."""


class ManagedProcess:
    """A child process with its output files.

    :param name: name in error messages and of the output files.
    :param command: program with its arguments.
    :param log_folder: folder of ``NAME.log`` (standard error, appended to)
        and ``NAME.out`` (standard output, overwritten at each start).
    """

    def __init__(self, name, command, log_folder):
        self.name = name
        self.log_path = log_folder / f'{name}.log'
        self.out_path = log_folder / f'{name}.out'
        self._is_frozen = False
        self._is_exit_expected = False
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
        """Return the exit code, or None while the process runs."""
        return self._process.poll()

    def terminate(self):
        """Send SIGTERM without waiting for the exit."""
        self._is_exit_expected = True
        self.resume()
        if self.exit_code is None:
            self._process.terminate()

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the process to exit and return its exit code.

        :raises FleetError: if it still runs after ``timeout_s``.
        """
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise FleetError(
                f'{self.name} still runs after {timeout_s} s'
            ) from error

    def stop(self):
        """Terminate the process; kill it if it does not exit in time.

        :raises FleetError: if it had to be killed.
        """
        self.terminate()
        try:
            self.wait()
        except FleetError:
            self.kill()
            raise

    def kill(self):
        """Send SIGKILL, as after a crash or the loss of a host, and wait."""
        self._is_exit_expected = True
        if self.exit_code is None:
            self._process.kill()
            self._process.wait()

    def freeze(self):
        """Suspend the process with SIGSTOP; its connections stay open."""
        if self.exit_code is None:
            self._process.send_signal(signal.SIGSTOP)
            self._is_frozen = True

    def resume(self):
        """Continue the process after :meth:`freeze`."""
        if self._is_frozen and self.exit_code is None:
            self._process.send_signal(signal.SIGCONT)
        self._is_frozen = False

    def read_first_line(self, timeout_s):
        """Return the first line of the standard output.

        :raises FleetError: if the process exits unexpectedly or prints no
            line within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            text = self.out_path.read_text()
            if '\n' in text:
                return text.splitlines()[0]
            self.check_running()
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f'{self.name} printed no line within {timeout_s} s')

    def check_running(self):
        """Raise an error if the process exited without being asked to.

        :raises FleetError: with the end of the log.
        """
        if self.exit_code is not None and not self._is_exit_expected:
            tail = self.log_path.read_text(errors='replace')[
                -MAX_LOG_TAIL_CHARS:
            ]
            raise FleetError(
                f'{self.name} exited with code {self.exit_code}:\n{tail}'
            )
