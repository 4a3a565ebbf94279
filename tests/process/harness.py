"""Runs the test functions of a module and prints a verdict for each."""

import pathlib
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "standins"))


def main(module):
    """Runs the functions named test_*, or those named by the arguments."""
    selected = [name for name in sys.argv[1:] if not name.startswith("-")]
    failed = 0
    for name, test in list(vars(module).items()):
        if not name.startswith("test_") or (selected and
                                            name[5:] not in selected):
            continue
        start = time.monotonic()
        try:
            test()
            verdict = "PASS"
        except Exception:  # pylint: disable=broad-except
            traceback.print_exc()
            verdict = "FAIL"
            failed += 1
        suite = pathlib.Path(module.__file__).stem.removesuffix("_test")
        print(f"[{verdict}] {suite}::{name[5:]}: "
              f"({time.monotonic() - start:.1f}s)", flush=True)
    sys.exit(1 if failed else 0)
