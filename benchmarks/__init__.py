"""Benchmarks and emulated experiments that run on a single machine."""
