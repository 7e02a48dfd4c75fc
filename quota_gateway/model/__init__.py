"""Types that the decisions and the network code share."""
