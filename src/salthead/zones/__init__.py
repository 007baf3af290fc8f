"""Zones that are lost and return: their state, the order of evacuation, and a gradual return.

Enabled by the section ``zone_recovery`` of the policy file. It orders and admits; the draw places.
"""
