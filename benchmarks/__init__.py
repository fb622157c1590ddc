"""Measure what one machine can show; `python -m benchmarks.slopes`."""
