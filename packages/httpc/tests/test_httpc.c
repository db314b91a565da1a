#include "../httpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server that accepts one connection, writes given bytes, and then closes it or waits.
 */

typedef struct
{
  int listener;
  uint16_t port;
  const char *response;
  bool stays_open; /* keeps the connection open after the response */
  bool responds_twice;
  const char *repeated; /* sent without end after the response; NULL: nothing */
  unsigned pause_ms;    /* between the repetitions */
  int connection;
  int close_error;           /* errno of the last receive; 0: closed without a reset */
  _Atomic unsigned received; /* calls by `serve`, bytes by `count_bytes` */
  _Atomic bool ended;        /* the connection, as seen by `serve` */
} server_t;

typedef struct
{
  struct event_base *base;
  httpc_pool_t pool;
  bool done, failed, sent;
  bool refused, acknowledged; /* of a failed call */
  bool reused;                /* the connection of the last call */
  httpc_failure_t failure;
  bool streams;
  size_t body;
  bool forbidden;      /* calls may not be sent */
  server_t *watched;   /* it is looked at after a call was permitted */
  unsigned arrived;    /* calls that it had received by then */
  server_t *abandoned; /* it is looked at after a call has failed */
  bool had_ended;      /* its connection had ended by then */
  unsigned asked;      /* how often it was asked whether they may */
  bool alone;          /* calls by httpc_call_alone */
  size_t request_body; /* bytes that are sent with a call */
  msec_t timeout;      /* of the call; 0: the pool's */
  msec_t limit;        /* on the whole call; 0: the usual one */
  msec_t bound;        /* the event loop stops this long after a call's start; 0: never */
  msec_t took, waited; /* by the last call; of that, for a processor */
  bool outlasted;      /* the call had not ended by then */
  bool stalls_inside;  /* the process stalls within httpc_call, before its timers start */
  httpc_conn_t *conn;  /* of the last call */
  msec_t later_timeout; /* set when the first part of a streamed body arrives; 0: not */
  msec_t stall;         /* between the call and httpc_set_timeout */
} client_t;

static void *
serve (void *arg)
{
  server_t *self = arg;
  char bytes[4096];

  self->connection = accept (self->listener, NULL, NULL);
  for (int i = 0; i < (self->responds_twice ? 2 : 1); i++)
    {
      if (recv (self->connection, bytes, sizeof bytes, 0) <= 0)
        break;
      self->received++;
      if (self->response != NULL)
        send (self->connection, self->response, strlen (self->response), MSG_NOSIGNAL);
    }
  while (self->repeated != NULL
         && send (self->connection, self->repeated, strlen (self->repeated), MSG_NOSIGNAL)
                > 0)
    usleep (self->pause_ms * 1000);
  if (!self->stays_open)
    shutdown (self->connection, SHUT_RDWR);
  /* Reads until the client closes. */
  ssize_t got;
  while ((got = recv (self->connection, bytes, sizeof bytes, 0)) > 0)
    ;
  self->close_error = got < 0 ? errno : 0;
  self->ended = true;
  if (self->stays_open && self->close_error == 0)
    {
      /* A reset may arrive after the end of the stream. */
      socklen_t len = sizeof self->close_error;
      usleep (50 * 1000);
      getsockopt (self->connection, SOL_SOCKET, SO_ERROR, &self->close_error, &len);
    }
  close (self->connection);
  return NULL;
}

/* Accepts connections after a while, and answers the calls on them, until the listener is
 * shut down. */
static void *
make_room (void *arg)
{
  server_t *self = arg;
  char bytes[4096];
  struct pollfd polled[8] = { { self->listener, POLLIN, 0 } };
  nfds_t n = 1;

  usleep (500 * 1000);
  while (poll (polled, n, -1) > 0 && (polled[0].revents & POLLHUP) == 0)
    {
      for (nfds_t i = 1; i < n; i++)
        if (polled[i].revents != 0)
          {
            if (recv (polled[i].fd, bytes, sizeof bytes, 0) > 0)
              send (polled[i].fd, self->response, strlen (self->response), MSG_NOSIGNAL);
            close (polled[i].fd);
            polled[i].fd = -1;
          }
      if ((polled[0].revents & POLLIN) != 0 && n < G_N_ELEMENTS (polled))
        polled[n++] = (struct pollfd){ accept (self->listener, NULL, NULL), POLLIN, 0 };
    }
  for (nfds_t i = 1; i < n; i++)
    close (polled[i].fd);
  return NULL;
}

static void
listen_on_loopback (server_t *self)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof address;

  self->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (self->listener, (struct sockaddr *)&address, sizeof address),
                    0);
  assert_int_equal (listen (self->listener, 4), 0);
  getsockname (self->listener, (struct sockaddr *)&address, &len);
  self->port = ntohs (address.sin_port);
}

static bool
on_head (void *owner, struct evhttp_request *response)
{
  (void)response;
  return ((client_t *)owner)->streams;
}

static void
on_data (void *owner, struct evbuffer *data)
{
  client_t *self = owner;

  if (self->body == 0 && self->later_timeout > 0)
    httpc_set_timeout (self->conn, self->later_timeout);
  self->body += evbuffer_get_length (data);
  evbuffer_drain (data, evbuffer_get_length (data));
}

static void
on_done (void *owner, struct evhttp_request *response)
{
  client_t *self = owner;

  self->done = true;
  if (!self->streams)
    self->body = evbuffer_get_length (evhttp_request_get_input_buffer (response));
  event_base_loopbreak (self->base);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  client_t *self = owner;

  self->failed = true;
  self->sent = sent;
  self->failure = failure;
  self->refused = self->conn != NULL && httpc_was_refused (self->conn);
  self->acknowledged = self->conn != NULL && httpc_was_acknowledged (self->conn);
  if (self->abandoned != NULL)
    {
      usleep (100 * 1000);
      self->had_ended = self->abandoned->ended;
    }
  event_base_loopbreak (self->base);
}

static void
look_at_server (evutil_socket_t fd, short what, void *arg)
{
  client_t *self = arg;

  (void)fd;
  (void)what;
  usleep (100 * 1000);
  self->arrived = self->watched->received;
}

static bool
may_send (void *owner)
{
  client_t *self = owner;
  const struct timeval next = { 0 };

  self->asked++;
  if (self->watched != NULL)
    event_base_once (self->base, -1, EV_TIMEOUT, look_at_server, self, &next);
  return !self->forbidden;
}

static const httpc_ops_t ops = { on_head, on_data, on_done, on_failed, may_send };

/* The clock of libevent's timers, which is some ms behind the precise one. */
static msec_t
timer_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC_COARSE, &now);
  return (msec_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* How long this thread has been ready to run without a processor; 0 where the kernel
 * doesn't tell. */
static msec_t
scheduling_delay (void)
{
  char *text = NULL;
  msec_t delay = 0;

  if (g_file_get_contents ("/proc/thread-self/schedstat", &text, NULL, NULL))
    {
      char *next = NULL;
      g_ascii_strtoull (text, &next, 10); /* running */
      delay = (msec_t)(g_ascii_strtoull (next, NULL, 10) / 1000000);
    }
  g_free (text);
  return delay;
}

static void
on_bound (evutil_socket_t fd, short what, void *arg)
{
  client_t *self = arg;

  (void)fd;
  (void)what;
  self->outlasted = true;
  event_base_loopbreak (self->base);
}

#define STALL_MS 800

static bool stall_at_next_allocation;

static void *
allocate (size_t size)
{
  if (stall_at_next_allocation)
    usleep (STALL_MS * 1000);
  stall_at_next_allocation = false;
  return malloc (size);
}

static void
call_once (client_t *self)
{
  const struct timeval bound = { self->bound / 1000, self->bound % 1000 * 1000 };
  struct event *bound_timer = evtimer_new (self->base, on_bound, self);
  struct evhttp_request *request = httpc_request_new ();

  self->done = self->failed = false;
  self->body = 0;
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", "test");
  char *body = g_strnfill (self->request_body, 'x');
  evbuffer_add (evhttp_request_get_output_buffer (request), body, self->request_body);
  g_free (body);
  const enum evhttp_cmd_type method
      = self->request_body > 0 ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
  const msec_t delay = scheduling_delay (), started = timer_now ();
  if (self->bound > 0)
    evtimer_add (bound_timer, &bound);
  stall_at_next_allocation = self->stalls_inside;
  httpc_conn_t *conn
      = self->alone ? httpc_call_alone (&self->pool, request, method, "/x", &ops, self)
                    : httpc_call (&self->pool,
                                  request,
                                  method,
                                  "/x",
                                  &ops,
                                  self,
                                  g_get_monotonic_time () / 1000);
  assert_non_null (conn);
  self->conn = conn;
  self->reused = httpc_is_reused (conn);
  usleep ((useconds_t)self->stall * 1000);
  if (self->timeout > 0)
    httpc_set_timeout (conn, self->timeout);
  event_base_dispatch (self->base);
  self->took = timer_now () - started;
  self->waited = scheduling_delay () - delay;
  event_free (bound_timer);
}

static void
call_server (client_t *self, server_t *server)
{
  pthread_t thread;

  listen_on_loopback (server);
  pthread_create (&thread, NULL, serve, server);
  self->base = event_base_new ();
  httpc_pool_init (&self->pool, self->base, TEXT ("127.0.0.1"), server->port, 300);
  if (self->limit > 0)
    httpc_pool_set_call_limit (&self->pool, self->limit);
  call_once (self);
  if (server->responds_twice)
    call_once (self);
  httpc_pool_finish (&self->pool);
  event_base_free (self->base);
  pthread_join (thread, NULL);
  close (server->listener);
}

static void
expect_complete (const char *response, size_t body, bool streams)
{
  server_t server = { .response = response, .stays_open = true };
  client_t client = { .streams = streams };

  call_server (&client, &server);
  assert_true (client.done);
  assert_int_equal (client.body, body);
}

static void
expect_failure (const char *response,
                bool stays_open,
                bool streams,
                httpc_failure_t failure)
{
  server_t server = { .response = response, .stays_open = stays_open };
  client_t client = { .streams = streams };

  call_server (&client, &server);
  assert_true (client.failed);
  assert_true (client.sent);
  assert_int_equal (client.failure, failure);
}

#define SIZED "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static void
test_complete_responses (void **state)
{
  (void)state;
  expect_complete (SIZED "hello", 5, false);
  expect_complete (SIZED "hello", 5, true);
  expect_complete (CHUNKED "3\r\nabc\r\n0\r\n\r\n", 3, false);
  expect_complete (CHUNKED "3\r\nabc\r\n0\r\n\r\n", 3, true);
  expect_complete ("HTTP/1.1 100 Continue\r\n\r\n" SIZED "hello", 5, false);
  expect_complete ("HTTP/1.1 599 Error\r\nContent-Length: 5\r\n\r\nhello", 5, false);
}

static void
test_truncated_responses (void **state)
{
  (void)state;
  expect_failure (SIZED "hel", false, false, HTTPC_TRUNCATED);
  expect_failure (SIZED "hel", false, true, HTTPC_TRUNCATED);
  expect_failure (CHUNKED "3\r\nabc\r\n", false, false, HTTPC_TRUNCATED);
  expect_failure (CHUNKED "3\r\nabc\r\n", false, true, HTTPC_TRUNCATED);
  /* Without a length a truncated response cannot be told from a complete one. */
  expect_failure ("HTTP/1.1 200 OK\r\n\r\nhel", false, false, HTTPC_TRUNCATED);
  expect_failure ("HTTP/1.1 200 OK\r\n\r\nhel", false, true, HTTPC_TRUNCATED);
}

static void
test_connection_lost_before_the_head (void **state)
{
  (void)state;
  expect_failure (NULL, false, false, HTTPC_CONNECTION_LOST);
  expect_failure ("HTTP/1.1 2", false, false, HTTPC_CONNECTION_LOST);
}

/* Bytes of an aborted call must not be delivered after a network fault has ended. */
static void
test_aborted_call_resets_its_connection (void **state)
{
  server_t silent = { .stays_open = true };
  server_t responding = { .response = SIZED "hello", .stays_open = true };
  client_t client = { 0 };

  (void)state;
  call_server (&client, &silent);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  assert_int_not_equal (silent.close_error, 0);
  call_server (&client, &responding);
  assert_true (client.done);
  assert_int_equal (responding.close_error, 0);
}

static void
test_a_call_that_has_failed_cannot_arrive_any_more (void **state)
{
  server_t silent = { .stays_open = true };
  client_t client = { .abandoned = &silent };

  (void)state;
  call_server (&client, &silent);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  assert_true (client.had_ended);
  assert_int_not_equal (silent.close_error, 0);
}

static void
test_a_call_that_has_reached_its_limit_cannot_arrive_any_more (void **state)
{
  server_t silent = { .stays_open = true };
  client_t client = { .abandoned = &silent, .limit = 100 };

  (void)state;
  call_server (&client, &silent);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  assert_true (client.had_ended);
  assert_int_equal (silent.close_error, ECONNRESET);
}

/* Answers one call and closes its connection, then serves another one as usual. */
static void *
serve_after_closing (void *arg)
{
  server_t *self = arg;
  char bytes[4096];
  int first = accept (self->listener, NULL, NULL);

  if (recv (first, bytes, sizeof bytes, 0) > 0)
    send (first, self->response, strlen (self->response), MSG_NOSIGNAL);
  close (first);
  self->response = NULL;
  return serve (self);
}

static void
test_an_aborted_call_resets_a_connection_that_was_opened_anew (void **state)
{
  server_t server = { .response = SIZED "hello", .stays_open = true };
  client_t client = { 0 };
  const struct timeval pause = { .tv_usec = 50 * 1000 };
  pthread_t thread;

  (void)state;
  listen_on_loopback (&server);
  pthread_create (&thread, NULL, serve_after_closing, &server);
  client.base = event_base_new ();
  httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 300);
  call_once (&client);
  assert_true (client.done);
  event_base_loopexit (client.base, &pause); /* the client sees the close */
  event_base_dispatch (client.base);
  call_once (&client);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  httpc_pool_finish (&client.pool);
  event_base_free (client.base);
  pthread_join (thread, NULL);
  close (server.listener);
  assert_int_not_equal (server.close_error, 0);
}

static void
test_unresponsive_server_times_out (void **state)
{
  (void)state;
  expect_failure (NULL, true, false, HTTPC_TIMED_OUT);
  expect_failure (SIZED "he", true, false, HTTPC_TIMED_OUT);
}

static void
test_a_call_without_an_answer_is_known_to_have_arrived (void **state)
{
  server_t server = { .stays_open = true };
  client_t client = { .limit = 300 };

  (void)state;
  call_server (&client, &server);
  assert_true (client.failed);
  assert_true (client.acknowledged);
  assert_false (client.refused);
}

static void
expect_given_up (const char *response, const char *repeated, unsigned pause_ms)
{
  server_t server = { .response = response, .repeated = repeated, .pause_ms = pause_ms };
  client_t client = { 0 };
  struct rusage before, after;
  msec_t started = g_get_monotonic_time () / 1000;

  getrusage (RUSAGE_SELF, &before);
  call_server (&client, &server);
  getrusage (RUSAGE_SELF, &after);
  assert_true (client.failed);
  assert_true (g_get_monotonic_time () / 1000 - started < 3000);
  assert_true (after.ru_maxrss - before.ru_maxrss < 64 * 1024); /* KiB */
}

static void
test_responses_without_end_are_given_up (void **state)
{
  char *bytes = g_strnfill (65536, 'x');

  (void)state;
  expect_given_up (NULL, bytes, 0);
  expect_given_up ("HTTP/1.1 200 OK\r\nX: ", bytes, 0);
  expect_given_up ("HTTP/1.1 200 OK\r\n", "X: x\r\nX: x\r\nX: x\r\nX: x\r\n", 0);
  expect_given_up ("HTTP/1.1 200 OK\r\n\r\n", bytes, 0);
  expect_given_up (CHUNKED "7fffffff\r\n", bytes, 0);
  expect_given_up (CHUNKED "5;x=", bytes, 0);
  expect_given_up (CHUNKED, "1\r\nx\r\n1\r\nx\r\n", 0);
  expect_given_up ("HTTP/1.1 200 OK\r\nX: ", "x", 20);
  expect_given_up ("HTTP/1.1 200 OK\r\n\r\n", "x", 20);
  g_free (bytes);
}

static void
test_a_call_has_its_own_timeout (void **state)
{
  server_t server = { .stays_open = true };
  client_t client = { .timeout = 50 };
  msec_t started = timer_now ();

  (void)state;
  call_server (&client, &server);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  assert_in_range (timer_now () - started, 50, 250);
}

/* The bound is a timer that starts right before the call: timers run in the order of
 * their ends, however late the process is scheduled.  That httpc doesn't block the event
 * loop is seen by the time, less that for which the process waited for a processor.  Only
 * the limit can end the call, not a stall of the server. */
static void
expect_end_at_limit (client_t client)
{
  server_t server
      = { .response = "HTTP/1.1 200 OK\r\nX: ", .repeated = "x", .pause_ms = 20 };

  client.limit = 400;
  client.timeout = 5000;
  client.bound = 1100;
  call_server (&client, &server);
  assert_false (client.outlasted);
  assert_true (client.failed);
  assert_int_equal (client.failure, HTTPC_TIMED_OUT);
  assert_true (client.took >= 400);
  assert_in_range (client.took - client.waited, 0, 1100);
}

static void
test_a_call_ends_at_its_limit_whatever_arrives (void **state)
{
  (void)state;
  expect_end_at_limit ((client_t){ 0 });
}

static void
test_a_limit_counts_from_the_start_of_its_call (void **state)
{
  (void)state;
  expect_end_at_limit ((client_t){ .stalls_inside = true });
  expect_end_at_limit ((client_t){ .stalls_inside = true, .alone = true });
}

static void
test_a_timeout_that_is_set_late_does_not_prolong_the_limit (void **state)
{
  (void)state;
  expect_end_at_limit ((client_t){ .stall = STALL_MS });
}

static void
test_a_streamed_response_has_no_limit_whenever_a_timeout_is_set (void **state)
{
  server_t server = { .response = CHUNKED, .repeated = "1\r\nx\r\n", .pause_ms = 20 };
  client_t client = { .streams = true,
                      .timeout = 5000,
                      .limit = 400,
                      .bound = 1100,
                      .later_timeout = 5000 };

  (void)state;
  call_server (&client, &server);
  assert_true (client.outlasted);
  assert_false (client.failed);
  assert_true (client.body > 0);
}

static void
test_refused_connection_sends_nothing (void **state)
{
  server_t server = { 0 };
  client_t client = { .base = event_base_new () };

  (void)state;
  listen_on_loopback (&server);
  close (server.listener);
  httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 300);
  call_once (&client);
  assert_true (client.failed);
  assert_false (client.sent);
  assert_true (client.refused);
  assert_int_equal (client.failure, HTTPC_UNREACHABLE);
  httpc_pool_finish (&client.pool);
  event_base_free (client.base);
}

/* The server's queue of connections is full for some time, so that the first packet is
 * sent again after a second. */
static void
test_slow_connection_is_waited_for (void **state)
{
  static const msec_t timeouts[] = { CONNECT_MS, 3000 };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (timeouts); i++)
    {
      server_t server = { .response = SIZED "hello" };
      client_t client = { .base = event_base_new () };
      int waiting[3];
      pthread_t thread;
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
      listen_on_loopback (&server);
      assert_int_equal (listen (server.listener, 0), 0);
      address.sin_port = htons (server.port);
      for (size_t k = 0; k < G_N_ELEMENTS (waiting); k++)
        {
          waiting[k] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
          int done = connect (waiting[k], (struct sockaddr *)&address, sizeof address);
          assert_true (done == 0 || errno == EINPROGRESS);
        }
      httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 3000);
      httpc_pool_set_connect_timeout (&client.pool, timeouts[i]);
      pthread_create (&thread, NULL, make_room, &server);
      call_once (&client);
      assert_int_equal (client.done, timeouts[i] > 1000);
      httpc_pool_finish (&client.pool);
      event_base_free (client.base);
      for (size_t k = 0; k < G_N_ELEMENTS (waiting); k++)
        close (waiting[k]);
      shutdown (server.listener, SHUT_RDWR);
      pthread_join (thread, NULL);
      close (server.listener);
    }
}

static void
test_response_is_arriving_once_its_head_is_complete (void **state)
{
  static const struct
  {
    const char *response;
    bool receiving;
  } cases[] = { { NULL, false },
                { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", false },
                { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true },
                { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true } };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct timeval while_silent = { .tv_usec = 100 * 1000 };
      server_t server = { .response = cases[i].response, .stays_open = true };
      client_t client = { .base = event_base_new () };
      pthread_t thread;
      listen_on_loopback (&server);
      pthread_create (&thread, NULL, serve, &server);
      httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 5000);
      struct evhttp_request *request = httpc_request_new ();
      evhttp_add_header (evhttp_request_get_output_headers (request), "Host", "test");
      httpc_conn_t *conn = httpc_call (&client.pool,
                                       request,
                                       EVHTTP_REQ_GET,
                                       "/x",
                                       &ops,
                                       &client,
                                       g_get_monotonic_time () / 1000);
      event_base_loopexit (client.base, &while_silent);
      event_base_dispatch (client.base);
      assert_int_equal (httpc_is_receiving (conn), cases[i].receiving);
      httpc_pool_finish (&client.pool);
      event_base_free (client.base);
      pthread_join (thread, NULL);
      close (server.listener);
    }
}

static void
test_connection_is_reused (void **state)
{
  server_t server
      = { .response = SIZED "hello", .stays_open = true, .responds_twice = true };
  client_t client = { 0 };

  (void)state;
  /* The server accepts only one connection: a call on a second one would time out. */
  call_server (&client, &server);
  assert_true (client.done);
}

#define FIRST SIZED "first"
#define LATER "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nlater.."

/* Repeats its answer to the first call, at once or as soon as another call is sent on
 * that connection, and reads no other call there.  On other connections it answers. */
typedef struct
{
  int listener;
  bool at_once;
  bool reset; /* the first connection was reset */
} repeater_t;

static bool
is_reset (int connection)
{
  int error = 0;
  socklen_t len = sizeof error;

  usleep (20 * 1000); /* a reset may arrive after the end of the stream */
  getsockopt (connection, SOL_SOCKET, SO_ERROR, &error, &len);
  return error != 0;
}

static void *
repeat_first_answer (void *arg)
{
  repeater_t *self = arg;
  char bytes[4096];
  int first = accept (self->listener, NULL, NULL), second;
  const char *answer = self->at_once ? FIRST FIRST : FIRST;

  recv (first, bytes, sizeof bytes, 0);
  send (first, answer, strlen (answer), MSG_NOSIGNAL);
  struct pollfd polled[] = { { first, POLLIN, 0 }, { self->listener, POLLIN, 0 } };
  while (poll (polled, 2, -1) > 0 && (polled[1].revents & POLLHUP) == 0)
    {
      if (polled[0].revents != 0)
        {
          ssize_t got = recv (first, bytes, 1, MSG_PEEK);
          if (got <= 0)
            self->reset |= got < 0 || is_reset (first);
          polled[0].fd = -1;
          if (got > 0)
            send (first, FIRST, strlen (FIRST), MSG_NOSIGNAL);
        }
      if ((polled[1].revents & POLLIN) == 0)
        continue;
      second = accept (self->listener, NULL, NULL);
      if (second >= 0 && recv (second, bytes, sizeof bytes, 0) > 0)
        send (second, LATER, strlen (LATER), MSG_NOSIGNAL);
      close (second);
    }
  close (first);
  return NULL;
}

/* Makes the first call on a pooled connection, and another as CLIENT says. */
static void
call_repeater (client_t *client, repeater_t *server, bool reset_idle)
{
  server_t listening = { 0 };
  const struct timeval pause = { .tv_usec = 20 * 1000 };
  const client_t wanted = *client;
  pthread_t thread;
  int small = 2048;

  listen_on_loopback (&listening);
  /* Accepted connections have it too: a call with a body doesn't arrive entirely. */
  setsockopt (listening.listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  server->listener = listening.listener;
  pthread_create (&thread, NULL, repeat_first_answer, server);
  *client = (client_t){ .base = event_base_new () };
  httpc_pool_init (&client->pool, client->base, TEXT ("127.0.0.1"), listening.port, 300);
  call_once (client);
  assert_true (client->done);
  assert_false (client->reused);
  event_base_loopexit (client->base, &pause); /* what follows the answer arrives */
  event_base_dispatch (client->base);
  if (reset_idle)
    httpc_pool_reset_idle (&client->pool);
  client->alone = wanted.alone;
  client->request_body = wanted.request_body;
  call_once (client);
  event_base_loopexit (client->base, &pause);
  event_base_dispatch (client->base);
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (server->listener);
  httpc_pool_finish (&client->pool);
  event_base_free (client->base);
}

static void
test_bytes_beyond_a_response_are_not_taken_for_the_next_one (void **state)
{
  repeater_t server = { .at_once = true };
  client_t client = { 0 };

  (void)state;
  call_repeater (&client, &server, false);
  assert_true (client.done);
  assert_int_equal (client.body, strlen ("later.."));
  assert_false (client.reused);
}

static void
test_a_call_that_is_made_alone_gets_no_repeated_response (void **state)
{
  repeater_t server = { 0 };
  client_t pooled = { 0 }, alone = { .alone = true };

  (void)state;
  call_repeater (&pooled, &server, false);
  assert_true (pooled.reused); /* its response may be a repeated one, and is here */
  assert_int_equal (pooled.body, strlen ("first"));
  call_repeater (&alone, &server, false);
  assert_true (alone.done);
  assert_false (alone.reused);
  assert_int_equal (alone.body, strlen ("later.."));
  assert_true (g_queue_is_empty (&alone.pool.idle));
}

static void
test_a_response_before_its_call_has_arrived_is_a_repeated_one (void **state)
{
  repeater_t server = { 0 };
  client_t client = { .request_body = 20000 };

  (void)state;
  call_repeater (&client, &server, false);
  assert_true (client.failed);
  assert_true (client.sent);
  assert_int_equal (client.failure, HTTPC_CONNECTION_LOST);
}

static void
test_idle_connections_are_reset_on_demand (void **state)
{
  repeater_t server = { 0 };
  client_t client = { .alone = true };

  (void)state;
  call_repeater (&client, &server, true);
  assert_true (client.done);
  assert_true (server.reset);
}

/* Accepts connections after a while and reads from them. */
static void *
count_bytes (void *arg)
{
  server_t *self = arg;
  char bytes[4096];
  int connection;
  ssize_t got;

  usleep (300 * 1000);
  while ((connection = accept (self->listener, NULL, NULL)) >= 0)
    {
      const struct timeval wait = { .tv_usec = 300 * 1000 };
      setsockopt (connection, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
      while ((got = recv (connection, bytes, sizeof bytes, 0)) > 0)
        self->received += (unsigned)got;
      close (connection);
    }
  return NULL;
}

static void
forbid (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  ((client_t *)arg)->forbidden = true;
}

/* The server's queue of connections is full at first, so that connecting takes a second.
 */
static void
call_busy_server (client_t *client, server_t *server, bool forbidden_meanwhile)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const struct timeval soon = { .tv_usec = 100 * 1000 };
  pthread_t thread;
  int waiting[3];

  listen_on_loopback (server);
  assert_int_equal (listen (server->listener, 0), 0);
  address.sin_port = htons (server->port);
  for (size_t k = 0; k < G_N_ELEMENTS (waiting); k++)
    {
      waiting[k] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      int done = connect (waiting[k], (struct sockaddr *)&address, sizeof address);
      assert_true (done == 0 || errno == EINPROGRESS);
      shutdown (waiting[k], SHUT_WR);
    }
  client->base = event_base_new ();
  httpc_pool_init (&client->pool, client->base, TEXT ("127.0.0.1"), server->port, 5000);
  httpc_pool_set_connect_timeout (&client->pool, 5000);
  if (forbidden_meanwhile)
    event_base_once (client->base, -1, EV_TIMEOUT, forbid, client, &soon);
  pthread_create (&thread, NULL, count_bytes, server);
  call_once (client);
  httpc_pool_finish (&client->pool);
  event_base_free (client->base);
  for (size_t k = 0; k < G_N_ELEMENTS (waiting); k++)
    close (waiting[k]);
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (server->listener);
}

static void
test_a_call_that_is_forbidden_while_it_connects_sends_nothing (void **state)
{
  server_t server = { 0 }, other = { 0 };
  client_t permitted = { 0 }, forbidden = { 0 };

  (void)state;
  call_busy_server (&permitted, &server, false);
  assert_true (permitted.sent);
  assert_true (server.received > 0);
  call_busy_server (&forbidden, &other, true);
  assert_int_equal (forbidden.asked, 1);
  assert_true (forbidden.failed);
  assert_false (forbidden.sent);
  assert_int_equal (forbidden.failure, HTTPC_NOT_PERMITTED);
  assert_int_equal (other.received, 0);
}

static void
test_a_forbidden_call_sends_nothing_on_an_open_connection (void **state)
{
  server_t server
      = { .response = SIZED "hello", .stays_open = true, .responds_twice = true };
  client_t client = { 0 };
  pthread_t thread;

  (void)state;
  listen_on_loopback (&server);
  pthread_create (&thread, NULL, serve, &server);
  client.base = event_base_new ();
  httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 300);
  call_once (&client);
  assert_true (client.done);
  client.forbidden = true;
  call_once (&client);
  httpc_pool_finish (&client.pool);
  event_base_free (client.base);
  pthread_join (thread, NULL);
  close (server.listener);
  assert_true (client.reused);
  assert_int_equal (client.asked, 2);
  assert_int_equal (client.failure, HTTPC_NOT_PERMITTED);
  assert_false (client.sent);
  assert_int_equal (server.received, 1); /* one call */
}

static void
test_an_open_connection_is_written_to_as_soon_as_it_may_be (void **state)
{
  server_t server
      = { .response = SIZED "hello", .stays_open = true, .responds_twice = true };
  client_t client = { 0 };
  pthread_t thread;

  (void)state;
  listen_on_loopback (&server);
  pthread_create (&thread, NULL, serve, &server);
  client.base = event_base_new ();
  httpc_pool_init (&client.pool, client.base, TEXT ("127.0.0.1"), server.port, 300);
  call_once (&client);
  assert_true (client.done);
  httpc_call (&client.pool,
              httpc_request_new (),
              EVHTTP_REQ_GET,
              "/x",
              &ops,
              &client,
              g_get_monotonic_time () / 1000);
  usleep (100 * 1000); /* the event loop doesn't run */
  assert_int_equal (server.received, 2);
  client.done = false;
  event_base_dispatch (client.base);
  assert_true (client.done);
  httpc_pool_finish (&client.pool);
  event_base_free (client.base);
  pthread_join (thread, NULL);
  close (server.listener);
}

static void
test_a_new_connection_is_written_to_as_soon_as_it_may_be (void **state)
{
  server_t server = { .response = SIZED "hello", .stays_open = true };
  client_t client = { .watched = &server };

  (void)state;
  call_server (&client, &server);
  assert_true (client.done);
  assert_int_equal (client.arrived, 1); /* before the event loop's next event */
}

static void
test_a_status_outside_the_protocol_is_no_response (void **state)
{
  static const char *const statuses[]
      = { "000", "0", "20", "099", "600", "999", "2000", "101", "103", "-1" };
  uint32_t n_taken = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (int variant = 0; variant < 4; variant++)
      {
        bool streams = (variant & 1) != 0;
        const char *body = (variant & 2) != 0 ? "hello" : "";
        char *response
            = g_strdup_printf ("HTTP/1.1 %s Unknown\r\nContent-Length: %zu\r\n\r\n%s",
                               statuses[i],
                               strlen (body),
                               body);
        server_t server = { .response = response, .stays_open = true };
        client_t client = { .streams = streams };
        call_server (&client, &server);
        if (client.done || client.body > 0)
          {
            print_error ("status %s, variant %d: taken\n", statuses[i], variant);
            n_taken++;
          }
        else
          {
            assert_true (client.failed && client.sent);
            assert_true (client.failure == HTTPC_TRUNCATED
                         || client.failure == HTTPC_CONNECTION_LOST);
          }
        g_free (response);
      }
  assert_int_equal (n_taken, 0);
}

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  event_set_mem_functions (allocate, realloc, free);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_complete_responses),
    cmocka_unit_test (test_truncated_responses),
    cmocka_unit_test (test_a_status_outside_the_protocol_is_no_response),
    cmocka_unit_test (test_connection_lost_before_the_head),
    cmocka_unit_test (test_unresponsive_server_times_out),
    cmocka_unit_test (test_a_call_without_an_answer_is_known_to_have_arrived),
    cmocka_unit_test (test_a_call_has_its_own_timeout),
    cmocka_unit_test (test_a_call_ends_at_its_limit_whatever_arrives),
    cmocka_unit_test (test_a_limit_counts_from_the_start_of_its_call),
    cmocka_unit_test (test_a_timeout_that_is_set_late_does_not_prolong_the_limit),
    cmocka_unit_test (test_a_streamed_response_has_no_limit_whenever_a_timeout_is_set),
    cmocka_unit_test (test_responses_without_end_are_given_up),
    cmocka_unit_test (test_aborted_call_resets_its_connection),
    cmocka_unit_test (test_a_call_that_has_failed_cannot_arrive_any_more),
    cmocka_unit_test (test_a_call_that_has_reached_its_limit_cannot_arrive_any_more),
    cmocka_unit_test (test_an_aborted_call_resets_a_connection_that_was_opened_anew),
    cmocka_unit_test (test_refused_connection_sends_nothing),
    cmocka_unit_test (test_slow_connection_is_waited_for),
    cmocka_unit_test (test_response_is_arriving_once_its_head_is_complete),
    cmocka_unit_test (test_connection_is_reused),
    cmocka_unit_test (test_bytes_beyond_a_response_are_not_taken_for_the_next_one),
    cmocka_unit_test (test_a_call_that_is_made_alone_gets_no_repeated_response),
    cmocka_unit_test (test_a_response_before_its_call_has_arrived_is_a_repeated_one),
    cmocka_unit_test (test_idle_connections_are_reset_on_demand),
    cmocka_unit_test (test_a_call_that_is_forbidden_while_it_connects_sends_nothing),
    cmocka_unit_test (test_a_forbidden_call_sends_nothing_on_an_open_connection),
    cmocka_unit_test (test_an_open_connection_is_written_to_as_soon_as_it_may_be),
    cmocka_unit_test (test_a_new_connection_is_written_to_as_soon_as_it_may_be),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
