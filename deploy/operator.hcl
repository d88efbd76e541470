# An operator's file, whole: paddletrack serve --config FILE --operator deploy/operator.hcl
# docs/operating/file.md has every key; check-config --print shows what is in force.

door {
  socket  = "/run/paddletrack/n1.sock" # mode 0600; its folder must be there
  clients = 8
  idle    = "10s"
}

drain {
  deadline  = "20s"
  longest   = "1h"
  notice    = "800ms" # heartbeats come twice a second here
  come_back = "2s"
}

coldstart {
  follows = 20 # dials of the list service a second, of all controllers together
  reads   = 45 # of those that know no list: it needs 20 ms for each
  longest = "30s"
}

log {
  form  = "text"
  level = "info"

  topic "dial" {
    level = "warning"
  }
}

# What controllers share (docs/share.md); off without this block.
# share {
#   listen  = "10.0.0.11:7946" # UDP, on a network of the controllers' own
#   peers   = ["10.0.0.12:7946", "10.0.0.13:7946"]
#   period  = "200ms"
#   cluster = "north"
# }

# Where groups of tables should lie (docs/operating/rebalance.md); off without this block; needs share.
# rebalance {
#   capacity = "65536MiB"
#   group    = "1024MiB"
# }

# Records to look back at decisions (docs/operating/hindsight.md); off without this block.
# hindsight {
#   records = 4096
#   window  = "5m"
# }
