"""Runs the controller program."""

from baobabturn.controller.main import main

main()
