#include "sockets.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/param.h>
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

/* While the window is closed, the kernel counts TCP_USER_TIMEOUT from its first probe,
 * shortly after the last data, and an acknowledgement doesn't begin it anew.  It probes
 * ever more rarely, but again before that time is over.  So the time always ends half of
 * UNACKED_MS from now, which has it probe, and at most UNACKED_MS after the last
 * acknowledgement. */
bool
socket_keep_while_acknowledged (evutil_socket_t fd, unsigned unacked_ms)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  unsigned limit = unacked_ms;
  int unsent = 0;

  if (fd < 0 || getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0
      || ioctl (fd, SIOCOUTQNSD, &unsent) != 0)
    return false;
  unsigned closed_for = info.tcpi_last_data_sent;
  unsigned quiet_for = info.tcpi_last_ack_recv;
  if (unsent > 0 && closed_for > quiet_for)
    limit = MAX (unacked_ms,
                 MIN (closed_for + unacked_ms / 2, closed_for - quiet_for + unacked_ms));
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  return limit > unacked_ms;
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
