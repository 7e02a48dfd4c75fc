"""The configuration of a gateway: its file, the settings in it, and the environment."""
