"""What a controller has confirmed about its links, and which actions that permits.

Nothing is inferred from the other direction of a link: that heartbeats arrive does not show that
answers do, and that the state service answers does not show that workers can be reached.
"""
