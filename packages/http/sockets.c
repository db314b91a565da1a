#include "sockets.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

void
socket_set_options (evutil_socket_t fd, unsigned unacked_ms)
{
  int enabled = 1, idle_s = 1, interval_s = 1, probes = 2;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof unacked_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
socket_set_reset_on_close (evutil_socket_t fd, bool reset)
{
  const struct linger option = { .l_onoff = reset, .l_linger = 0 };

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void
socket_reset (evutil_socket_t fd)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (fd >= 0)
    (void)connect (fd, &none, sizeof none);
}

int
socket_unacknowledged (evutil_socket_t fd)
{
  int bytes = 0;

  return fd >= 0 && ioctl (fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}
