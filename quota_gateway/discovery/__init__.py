"""Service discovery: polls the endpoint list and decodes it."""
