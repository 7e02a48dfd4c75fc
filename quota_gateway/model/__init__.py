"""Data types shared by the policy engine, the network code and the simulator."""
