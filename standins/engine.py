"""Engine stand-in that runs one or several engines in one process.

``python -m standins.engine --port 9001 --role prefill --port 9002 --role
decode``; each engine has its own port, role and KV cache memory.
"""

import asyncio

from absl import app
from absl import flags

from standins import engine_server
from standins import engine_types
from standins import serving

__all__ = ["run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on")
flags.DEFINE_multi_integer("port", [9000], "port of an engine; repeatable")
flags.DEFINE_multi_enum(
    "role",
    [],
    ["prefill", "decode", "both"],
    "role of an engine, in the order of --port",
)
flags.DEFINE_list("models", ["m"], "models that are loaded at start")
flags.DEFINE_string("credential", "", "required bearer token, if any")
flags.DEFINE_integer(
    "seed", 1, "random seed that selects the lost cache events"
)
flags.DEFINE_string(
    "crash_marker", "", "text in a prompt that crashes the process"
)
flags.DEFINE_boolean("stamps", False, "add the send time in ms to each event")

DEFINE = {
    bool: flags.DEFINE_boolean,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
}

for _name, _value in vars(engine_types.EngineParameters()).items():
    DEFINE[type(_value)](_name, _value, "see standins/engine_types.py")


def make_parameters() -> engine_types.EngineParameters:
    """Return the engine parameters from the command line."""
    parameters = engine_types.EngineParameters()
    for name in vars(parameters):
        setattr(parameters, name, getattr(FLAGS, name))
    return parameters


async def serve() -> None:
    """Serve all engines until a termination signal."""
    roles = FLAGS.role or ["both"]
    if len(roles) == 1:
        roles = roles * len(FLAGS.port)
    servers = {
        port: engine_server.EngineServer(
            f"{FLAGS.host}:{port}",
            make_parameters(),
            role,
            tuple(FLAGS.models),
            FLAGS.seed + number,
            FLAGS.credential,
            FLAGS.crash_marker,
            FLAGS.stamps,
        )
        for number, (port, role) in enumerate(
            zip(FLAGS.port, roles, strict=True)
        )
    }
    await serving.serve(
        FLAGS.host,
        {port: server.make_app() for port, server in servers.items()},
    )


def run() -> None:
    """Parse the command line and serve."""
    app.run(lambda _: asyncio.run(serve()))


if __name__ == "__main__":
    run()
