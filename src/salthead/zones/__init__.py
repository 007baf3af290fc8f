"""Zones that are lost and recover: their phases, the order of evacuation, and the slow start.

Enabled by the section ``zone_recovery`` of the policy file. It orders jobs and admits machines;
placement picks among these.
"""
