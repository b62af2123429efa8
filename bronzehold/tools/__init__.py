"""The command line and its programs: the demo, soak and log analysis."""
