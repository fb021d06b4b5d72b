"""Runs the operators' command."""

from baobabturn.commands.main import main

main()
