"""Hashes a prompt's blocks as engines identify them in cache events."""

import hashlib

__all__ = ["hash_blocks"]

BYTES_PER_TOKEN = 4
DIGITS = 16


def hash_blocks(model: str, prompt: str, block_tokens: int) -> tuple[str, ...]:
    """Return a hash for each full block, covering all preceding blocks too.

    :param model: the model's name
    :param prompt: the prompt
    :param block_tokens: the number of tokens in a block
    :returns: 16 hexadecimal digits for each block
    """
    data = prompt.encode()
    size = block_tokens * BYTES_PER_TOKEN
    hasher = hashlib.sha256(model.encode() + b"\0")
    hashes = []
    for end in range(size, len(data) + 1, size):
        hasher.update(data[end - size : end])
        hashes.append(hasher.hexdigest()[:DIGITS])
    return tuple(hashes)
