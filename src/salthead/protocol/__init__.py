"""The wire: paths and names, typed messages, their checks, and the interning of names."""
