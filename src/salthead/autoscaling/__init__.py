"""How many machines of which kind: what to provision and what to terminate. No I/O."""
