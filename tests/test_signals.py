"""Signals at a start and a stop, and what still comes in meanwhile."""
import os
import re
import signal
import subprocess
import sys
import time

import orjson
from crossing import TERMS, free_port


def program(tmp_path, said, shell=False, **more):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(said))
    with open("deploy/balancer.toml") as deploy:
        run = re.search(r'^run = "(.*)"$', deploy.read(), re.M)[1].replace(".venv/bin/python", sys.executable)
    return subprocess.Popen(["/bin/sh", "-c", run] if shell else [sys.executable, "-m", "grebedyke"],
                            stderr=subprocess.PIPE, text=True,
                            env={**os.environ, "BALANCER_CONFIG": str(file), **more}), file


def told(**more):
    return {"name": "n1", "listen": "127.0.0.1:%d" % free_port(), "discovery": "127.0.0.1:%d" % free_port(),
            "settings": TERMS, **more}


def test_a_reload_that_is_told_before_the_program_has_begun_does_not_end_it(tmp_path):
    # In the interpreter's own start SIGHUP ends a process, for a tenth of a second: `run` ignores it before.
    work, _ = program(tmp_path, told(), shell=True)
    try:
        end = time.monotonic() + 20
        while not open(f"/proc/{work.pid}/cmdline", "rb").read().startswith(sys.executable.encode()):
            assert time.monotonic() < end      # the shell is still there
        work.send_signal(signal.SIGHUP)
        assert any("-> serving" in line for line in work.stderr)
        work.send_signal(signal.SIGTERM)
        assert work.wait(20) == 0
    finally:
        work.kill()
        work.wait()
        work.stderr.close()
