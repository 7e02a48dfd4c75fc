"""Runs the decisions under the simulator, over lines of text."""
