"""Examples of settings files, complete and commented."""

_COMMON_END = """
[platform]
log_url = "http://10.0.0.2:9000"
host_list_url = "http://10.0.0.2:9001"

[fleet]
# At least 32 characters, the same for every process. A relative path is
# resolved against the directory of this file. Or: secret = "..."
secret_file = "fleet.secret"

[stop]
# A planned stop that takes longer abandons what is unfinished.
limit_s = 60.0

[limits]
# What the process may use; it refuses or closes what would take more.
memory_mb = 128.0
max_fds = 4096

[telemetry]
# otlp_endpoint = "http://10.0.0.3:4318"
logs = "json"  # or "console"
"""

_ROUTER = """# Settings of a router.
role = "router"
host = "entry-1"
data_centre = "klang-a"

[listen]
callers = "0.0.0.0:8080"  # callers and operators
peers = "0.0.0.0:7070"  # the other processes of the fleet
advertise = "10.0.0.5:7070"  # how they reach this one

# The key with which the first patch is submitted, as "operator key new"
# prints it. It is not needed once a patch names operators.
# [operator]
# salt = "..."
# digest = "..."
"""

_SIDECAR = """# Settings of a sidecar.
role = "sidecar"
host = "gpu-1"
data_centre = "klang-a"

[listen]
peers = "0.0.0.0:7071"
advertise = "10.0.0.9:7071"  # how routers reach this sidecar

[target]
name = "dues-1"  # as the configuration names it
service = "dues-llm"
kind = "model"  # or "plain"
url = "http://127.0.0.1:8000"
"""

EXAMPLES_BY_ROLE = {  # noqa: WPS407
    'router': _ROUTER + _COMMON_END,
    'sidecar': _SIDECAR + _COMMON_END,
}
