"""Runs the simulator adapter on standard input and output."""

import sys

from grebedyke.benchlink.adapter import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
