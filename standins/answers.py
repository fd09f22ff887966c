"""Deterministic text generation of the engine stand-in.

The text depends only on the model, the prompt and the token's index, so tests
can compute each byte of a response without asking an engine.
"""

import hashlib
import math

__all__ = [
    "SHORT_MARKER",
    "Answer",
    "count_prompt_tokens",
    "hash_blocks",
]

BYTES_PER_TOKEN = 4
SEED_DIGITS = 8
HASH_DIGITS = 16

# The response to a prompt with this word ends before ``max_tokens``.
SHORT_MARKER = "SHORT"


class Answer:
    """Complete response to one prompt.

    :param model: name of the model
    :param prompt: text of the prompt
    :param max_tokens: maximum number of tokens that the caller requested
    """

    __slots__ = ("seed", "length", "is_stopped_early")

    def __init__(self, model: str, prompt: str, max_tokens: int) -> None:
        digest = hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()
        self.seed = digest[:SEED_DIGITS]
        self.is_stopped_early = SHORT_MARKER in prompt
        self.length = max_tokens
        if self.is_stopped_early:
            self.length = 1 + int(digest[-4:], 16) % max(max_tokens, 1)

    def get_token_text(self, index: int) -> str:
        """Return the text of one token.

        :param index: index of the token, from 0
        :returns: text that occurs in no other prompt's response
        """
        return f" {self.seed}.{index}"

    def finish_reason(self) -> str:
        """Return the finish reason: ``stop`` or ``length``."""
        return "stop" if self.is_stopped_early else "length"

    def text(self) -> str:
        """Return the text of the complete response."""
        return "".join(map(self.get_token_text, range(self.length)))


def count_prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens of four bytes.

    :param prompt: text of the prompt
    :returns: number of tokens, at least one
    """
    return max(math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN), 1)


def hash_blocks(model: str, prompt: str, block_tokens: int) -> tuple[str, ...]:
    """Return the hashes of a prompt's complete blocks.

    :param model: name of the model
    :param prompt: text of the prompt
    :param block_tokens: number of tokens in a block
    :returns: 16 hexadecimal digits for each block; each hash covers all
        text up to the end of its block
    """
    data = prompt.encode()
    size = block_tokens * BYTES_PER_TOKEN
    hasher = hashlib.sha256(model.encode() + b"\0")
    hashes = []
    for end in range(size, len(data) + 1, size):
        hasher.update(data[end - size : end])
        hashes.append(hasher.hexdigest()[:HASH_DIGITS])
    return tuple(hashes)
