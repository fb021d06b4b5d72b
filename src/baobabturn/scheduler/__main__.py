"""Run the scheduler program."""

from baobabturn.scheduler.main import main

main()
