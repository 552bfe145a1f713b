"""Tests, one file for each module."""
