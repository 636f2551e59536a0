"""Stand-ins and a small fleet of the project's own processes, for the cases of the second review."""
