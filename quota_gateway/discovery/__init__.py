"""Follows the list of endpoints."""
