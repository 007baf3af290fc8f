"""Measure the recovery of a new leader while users ask, on simulated time.

    python3 tools/measure_recovery.py

Crashes the leader with many active jobs, and prints the time to load the records, the pages read,
the answers to users, refused requests for leadership, and lost leases of workers.
"""

from __future__ import annotations

import logging
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests"), str(ROOT)]

from questions_world import change_leader  # noqa: E402
from standins import run  # noqa: E402

JOB_COUNTS = (100, 400, 1600)
TIMES_AS_OFTEN = (1, 8)
WATCHED_S = 20.0


def main() -> None:
    """Print one line for each number of jobs and each rate of questions."""
    logging.disable(logging.CRITICAL)
    print("jobs  asked  load s  pages  answered  refused  unanswered  429 for leadership  lost")
    for job_count in JOB_COUNTS:
        for times in TIMES_AS_OFTEN:
            world = run(lambda j=job_count, t=times: change_leader(j, t, WATCHED_S))
            seen = world.recovery
            total = max(1, seen.answers.total())
            shares = [seen.answers[name] / total for name in ("answered", "refused", "unanswered")]
            print(
                f"{job_count:4}  {times:4}x  {seen.load_s:6.2f}  {seen.page_count:5}  "
                f"{shares[0]:8.3f}  {shares[1]:7.3f}  {shares[2]:10.3f}  "
                f"{seen.refused_leadership:18}  {seen.lost_leases:4}"
            )


if __name__ == "__main__":
    main()
