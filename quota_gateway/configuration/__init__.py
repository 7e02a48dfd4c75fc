"""Configuration of a gateway: the configuration file, its settings object and the environment."""
