"""The command line and the programs behind it."""
