#include "sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

void
socket_tune (evutil_socket_t fd, unsigned silent_ms)
{
  int on = 1, idle_s = 1, gap_s = 1, probes = 2;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap_s, sizeof gap_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
socket_reset_at_close (evutil_socket_t fd, bool reset)
{
  const struct linger none = { .l_onoff = reset, .l_linger = 0 };

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}
