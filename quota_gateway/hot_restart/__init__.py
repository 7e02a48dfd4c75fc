"""Hot restart: an older process of a gateway transfers its state to a newer one."""
