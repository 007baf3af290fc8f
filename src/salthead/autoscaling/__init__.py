"""Fleet planning: which machines to provision and which to terminate. No I/O."""
