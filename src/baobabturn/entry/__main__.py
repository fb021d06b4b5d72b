"""Runs the entry program."""

from baobabturn.entry.main import main

main()
