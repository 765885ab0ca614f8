"""Developer tools: demos, benchmarks, measurements and the binary build."""
