"""Service discovery: polls the endpoint list and decodes updates to it."""
