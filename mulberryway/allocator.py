"""Keeps large blocks of memory apart, so that the kernel gets them back."""

import ctypes
import logging

__all__ = ["separate_large_blocks"]

LOG = logging.getLogger(__name__)

# From malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 131_072


def separate_large_blocks() -> None:
    """Let each large block be mapped by itself, and unmapped when it is freed.

    By default the GNU C library raises the threshold to the largest block that
    was freed.  Later blocks then come from heaps, one for each thread, that
    keep what is freed in them: a process that has handled a few large requests
    stays at several times of what it holds.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:
        LOG.info("the C library has no mallopt: %r", error)
        return
    if not set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES):
        LOG.warning("the C library has not accepted a threshold for blocks")
