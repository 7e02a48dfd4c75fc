"""Client of the quota counter, which all gateways share."""
