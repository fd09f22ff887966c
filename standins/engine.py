"""The model engine stand-in: one process, one or several engines.

``python -m standins.engine --port 9001 --role prefill --port 9002 --role
decode``; each engine has a port, a role and its own memory.
"""

import asyncio

from absl import app
from absl import flags

from standins import engine_server
from standins import engine_types
from standins import serving

__all__ = ["run"]

FLAGS = flags.FLAGS

flags.DEFINE_string("host", "127.0.0.1", "the IP number to listen on")
flags.DEFINE_multi_integer("port", [9000], "an engine's port")
flags.DEFINE_multi_enum(
    "role", [], ["prefill", "decode", "both"], "an engine's role, as --port"
)
flags.DEFINE_list("models", ["m"], "models that are loaded at the start")
flags.DEFINE_string("credential", "", "the bearer token to ask for, if any")
flags.DEFINE_integer("seed", 1, "decides which cache events are lost")
flags.DEFINE_string(
    "crash_marker", "", "end the process soon after a prompt with this text"
)
flags.DEFINE_boolean(
    "stamps", False, "put the time of sending, in ms, into each event"
)

DEFINE = {
    bool: flags.DEFINE_boolean,
    int: flags.DEFINE_integer,
    float: flags.DEFINE_float,
}

for _name, _value in vars(engine_types.EngineParameters()).items():
    DEFINE[type(_value)](_name, _value, "see standins/engine_types.py")


def make_parameters() -> engine_types.EngineParameters:
    """Return the figures from the command line."""
    shape = engine_types.EngineParameters()
    for name in vars(shape):
        setattr(shape, name, getattr(FLAGS, name))
    return shape


async def serve() -> None:
    """Serve all engines until a signal."""
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
