"""Measurements. Each is run by a target of the Makefile."""
