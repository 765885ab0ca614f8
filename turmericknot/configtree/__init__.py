"""The federation's configuration tree and its merge."""
