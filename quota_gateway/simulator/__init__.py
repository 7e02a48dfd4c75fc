"""The decisions on the simulator's wire."""
