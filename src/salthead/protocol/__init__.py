"""The wire: names of fields and values, checks of what comes in, names to indices."""
