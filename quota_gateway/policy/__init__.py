"""Policy of the gateway: one mechanism per module, without I/O."""
