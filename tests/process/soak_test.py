"""A short run of the soak with a fixed plan of faults."""

import subprocess
import sys

import harness
from fleet import ROOT

SEED = 20261204
FAULT_SECONDS = 12
NODES = 6

# Exit codes of the soak without a violation: all guarantees held, or the
# machine stalled too long for a verdict.
NO_VIOLATION = (0, 3)


def test_guarantees_hold_under_a_short_plan_of_faults():
    result = subprocess.run(
        [sys.executable, ROOT / "util/soak", "--seed", str(SEED),
         "--seconds", str(FAULT_SECONDS), "--nodes", str(NODES)],
        capture_output=True, text=True, timeout=150, check=False)
    assert result.returncode in NO_VIOLATION, \
        (result.stdout + result.stderr)[-4000:]


if __name__ == "__main__":
    harness.main(sys.modules[__name__])
