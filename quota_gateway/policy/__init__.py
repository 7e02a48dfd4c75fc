"""Every decision of the gateway, one mechanism a module."""
