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

# Records to look back at decisions (docs/operating/hindsight.md); off without this block.
# hindsight {
#   records = 4096
#   window  = "5m"
# }
