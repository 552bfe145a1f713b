"""Command-line tool ``turmericflow``."""
