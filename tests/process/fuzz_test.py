"""Runs the fuzzer of the parsers of external input."""

import subprocess
import sys

import harness
from fleet import BUILD

SEED = 20261204
INPUTS = 300000


def test_no_input_breaks_a_parser():
    result = subprocess.run(
        [BUILD / "tests/fuzz", "--seed", str(SEED), "--inputs", str(INPUTS)],
        capture_output=True, text=True, timeout=120, check=False)
    assert result.returncode == 0, result.stderr[-2000:]


if __name__ == "__main__":
    harness.main(sys.modules[__name__])
