"""Lets the program be run as a module."""

from bronzehold.tools import main

main.main()
