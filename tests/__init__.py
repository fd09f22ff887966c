"""Tests of the package and of the benchmarks, stand-ins and tools."""
