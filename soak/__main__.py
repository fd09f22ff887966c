"""The soak's command line: ``python -m soak --seed 1 --seeds 50``."""

import pathlib
import sys

from absl import app
from absl import flags

from soak import plan
from soak import run

__all__ = ["main"]

FLAGS = flags.FLAGS

flags.DEFINE_integer("seed", 1, "the first seed")
flags.DEFINE_integer("seeds", 1, "how many seeds, one after the other")
flags.DEFINE_integer("vms", 3, "entry VMs")
flags.DEFINE_integer("chains", 3, "chains of faults that overlap")
flags.DEFINE_integer("length_ms", 10_000, "how long faults come")
flags.DEFINE_string("keep", "", "a folder for the logs of seeds that fail")


def main(arguments: list[str]) -> None:
    """Play the seeds, print each outcome, and exit with 1 if one failed.

    :param arguments: what is left of the command line
    """
    shape = plan.SoakConfig(
        vms=FLAGS.vms, chains=FLAGS.chains, length_ms=FLAGS.length_ms
    )
    keep = pathlib.Path(FLAGS.keep) if FLAGS.keep else None
    failed = 0
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        outcome = run.run_seed(seed, shape, keep)
        print(outcome.describe(), flush=True)
        for sentence in outcome.broken:
            print(f"  {sentence}", flush=True)
        failed += bool(outcome.broken)
    print(f"{FLAGS.seeds - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
