"""Detection of zone outages, evacuation of displaced jobs, and slow start of recovering zones.

Enabled by the section ``zone_recovery`` of the policy file. The package orders the queue and admits
machines; placement selects among these.
"""
