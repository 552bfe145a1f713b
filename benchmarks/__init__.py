"""Benchmarks, and the naive version that they compare with."""
