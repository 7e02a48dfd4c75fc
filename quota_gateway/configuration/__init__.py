"""Reads the configuration file, its settings and the environment."""
