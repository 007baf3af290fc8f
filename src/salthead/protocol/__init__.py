"""Wire protocol: paths and names, typed messages, validation, and interning of names."""
