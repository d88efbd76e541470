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
