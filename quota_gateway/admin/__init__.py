"""The operators' HTTP API."""
