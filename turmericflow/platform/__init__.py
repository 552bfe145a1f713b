"""Adapter to the users' platform: translates, and decides nothing."""
