"""Tests of the gateway, its fakes and harnesses."""
