"""Load generator: workloads, traces, submission and reports."""
