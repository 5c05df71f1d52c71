"""Tests of signals that arrive while the program starts."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

from bramleypin.platform import boot


class StartTest(unittest.TestCase):
    def test_a_hangup_during_the_start_does_not_end_the_program(self):
        """Guards against a SIGHUP that ends a daemon during its start.

        The settings file is a pipe, so the program blocks on it after its
        imports and before it handles signals.
        """
        with tempfile.TemporaryDirectory() as folder:
            pipe = pathlib.Path(folder) / "node.json"
            os.mkfifo(pipe)
            process = subprocess.Popen(
                [sys.executable, "-m", "bramleypin.platform"],
                env={**os.environ, boot.BOOT_VARIABLE: str(pipe)},
                stderr=subprocess.PIPE,
            )
            # Opening a pipe for writing blocks until a reader opens it.
            with pipe.open("w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("{")
            _, text = process.communicate(timeout=30)
        # The program exits with 2 because the settings are invalid. If SIGHUP
        # had ended it, the return code would be -1.
        self.assertEqual(2, process.returncode, text)
