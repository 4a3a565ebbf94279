"""Compares routing policies by simulations of the load patterns they answer."""

import subprocess
import sys

import harness
from fleet import BUILD, ROOT


def credits(experiment):
    """Returns the share of the possible credit that each variant achieves."""
    result = subprocess.run(
        [BUILD / "bench/loadsim", "--experiment",
         ROOT / "bench/experiments" / experiment],
        capture_output=True, text=True, timeout=120, check=True)
    rows = [[cell.strip() for cell in line.split("|")[1:-1]]
            for line in result.stdout.splitlines() if line.startswith("|")]
    column = rows[0].index("credit")
    return {row[0]: float(row[column]) for row in rows if row[2] == "all"}


def test_old_reports_do_not_mislead_the_informed_choice():
    # Choosing by estimates must serve callers better than two random ones.
    achieved = credits("old-reports.ini")
    assert achieved["least-loss"] > achieved["two-choices"], achieved


if __name__ == "__main__":
    harness.main(sys.modules[__name__])
