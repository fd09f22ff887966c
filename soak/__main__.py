"""Command line of the soak test: ``python -m soak --seed 1 --seeds 50``."""

import pathlib
import sys

from absl import app
from absl import flags

from soak import plan
from soak import run

__all__ = ["main"]

FLAGS = flags.FLAGS

flags.DEFINE_integer("seed", 1, "the first seed")
flags.DEFINE_integer("seeds", 1, "number of seeds to run, one after the other")
flags.DEFINE_integer("vms", 3, "number of entry VMs")
flags.DEFINE_integer("chains", 3, "number of overlapping fault chains")
flags.DEFINE_integer("partitions", 1, "VMs cut off from all upstreams")
flags.DEFINE_integer("decodes", 3, "number of decode engines")
flags.DEFINE_integer("versions", 1, "software versions of decode engines")
flags.DEFINE_integer("crashing_parts", 0, "prompt parts that end engines")
flags.DEFINE_integer("evacuations", 0, "availability zones evacuated")
flags.DEFINE_integer("advisories", 0, "upstreams that say what they want")
flags.DEFINE_integer("slow_readers", 0, "callers that read slowly")
flags.DEFINE_integer("returns", 0, "returns of the store from a backup")
flags.DEFINE_integer(
    "unreadable", 0, "answers without a whole head, and unusable entries"
)
flags.DEFINE_integer(
    "spoiled", 0, "upstreams whose answers break off or are sent twice"
)
flags.DEFINE_integer("odd", 0, "upstreams whose answers are odd or do not end")
flags.DEFINE_integer("losses", 0, "times that all VMs are killed at once")
flags.DEFINE_integer("stops", 0, "VMs that are told to stop, in series")
flags.DEFINE_integer("length_ms", 10_000, "duration of fault injection")
flags.DEFINE_string("keep", "", "folder for the logs of failed seeds")


def main(arguments: list[str]) -> None:
    """Run the seeds, print each result, and exit with 1 if one failed.

    :param arguments: remaining command-line arguments
    """
    config = plan.SoakConfig(
        vms=FLAGS.vms,
        chains=FLAGS.chains,
        decodes=FLAGS.decodes,
        versions=FLAGS.versions,
        length_ms=FLAGS.length_ms,
        partitions=FLAGS.partitions,
        crashing_parts=FLAGS.crashing_parts,
        evacuations=FLAGS.evacuations,
        advisories=FLAGS.advisories,
        slow_readers=FLAGS.slow_readers,
        returns=FLAGS.returns,
        unreadable=FLAGS.unreadable,
        losses=FLAGS.losses,
        spoiled=FLAGS.spoiled,
        odd=FLAGS.odd,
        stops=FLAGS.stops,
    )
    log_folder = pathlib.Path(FLAGS.keep) if FLAGS.keep else None
    failed = 0
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        result = run.run_seed(seed, config, log_folder)
        print(result.describe(), flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
        failed += bool(result.violations)
    print(f"{FLAGS.seeds - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
