"""Transactions that write the pages of a term to the state service."""

from __future__ import annotations

from salthead.leader.context import TermContext
from salthead.state_store.messages import ConflictError, delete, put
from salthead.state_store.pages import PageBatch, Pages
from salthead.state_store.request_stats import RequestClass

BATCH_KB = 56.0  # a transaction has at most 64 KiB


async def write_pages(context: TermContext, pages: Pages) -> PageBatch:
    """Write unwritten pages in one transaction, as many as fit, and return them.

    Raises ConflictError, after reading the stored revisions, if an earlier write took effect.
    """
    batch = pages.batch(context.state_limits.txn_ops, BATCH_KB)
    if not batch:
        return batch
    try:
        revision = await context.transaction(
            {pages.key(page): pages.revisions.get(page, 0) for page in batch},
            [
                put(pages.key(page), content) if content else delete(pages.key(page))
                for page, (_, content) in batch.items()
            ],
            request_class=RequestClass.BULK_WRITE,
        )
    except ConflictError:
        # An earlier write without an answer took effect. With the stored revisions the next write
        # replaces it.
        for page in batch:
            row = await context.state_store.get(pages.key(page), RequestClass.LEADER)
            pages.revisions[page] = row.revision if row is not None else 0
        raise
    pages.written(batch, revision)
    return batch
