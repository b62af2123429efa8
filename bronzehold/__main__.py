"""Runs the command line for `python -m bronzehold`."""

from bronzehold.tools import main

main.main()
