"""The downstream side: client connections, their requests and responses."""
