"""Every decision of the gateway."""
