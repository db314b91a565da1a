#include "../httpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server of one connection that answers with given bytes and then closes or waits. */

typedef struct
{
  int listener;
  uint16_t port;
  const char *answer;
  bool stays; /* open after the answer */
  bool answers_twice;
  int client;
  int last_error; /* of the connection's end; 0: it was closed in order */
} server_t;

typedef struct
{
  struct event_base *base;
  httpc_pool_t pool;
  bool done, failed, sent;
  httpc_failure_t failure;
  bool stream;
  size_t body;
} caller_t;

static void *
serve (void *arg)
{
  server_t *self = arg;
  char bytes[4096];

  self->client = accept (self->listener, NULL, NULL);
  for (int i = 0; i < (self->answers_twice ? 2 : 1); i++)
    {
      if (recv (self->client, bytes, sizeof bytes, 0) <= 0)
        break;
      if (self->answer != NULL)
        send (self->client, self->answer, strlen (self->answer), MSG_NOSIGNAL);
    }
  if (!self->stays)
    shutdown (self->client, SHUT_RDWR);
  /* Until the caller closes. */
  ssize_t got;
  while ((got = recv (self->client, bytes, sizeof bytes, 0)) > 0)
    ;
  self->last_error = got < 0 ? errno : 0;
  if (self->stays && self->last_error == 0)
    {
      /* A reset may follow the end of the bytes. */
      socklen_t len = sizeof self->last_error;
      usleep (50 * 1000);
      getsockopt (self->client, SOL_SOCKET, SO_ERROR, &self->last_error, &len);
    }
  close (self->client);
  return NULL;
}

static void
listen_on_loopback (server_t *self)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t len = sizeof at;

  self->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (self->listener, (struct sockaddr *)&at, sizeof at), 0);
  assert_int_equal (listen (self->listener, 4), 0);
  getsockname (self->listener, (struct sockaddr *)&at, &len);
  self->port = ntohs (at.sin_port);
}

static bool
on_head (void *owner, struct evhttp_request *answer)
{
  (void)answer;
  return ((caller_t *)owner)->stream;
}

static void
on_data (void *owner, struct evbuffer *part)
{
  caller_t *self = owner;

  self->body += evbuffer_get_length (part);
  evbuffer_drain (part, evbuffer_get_length (part));
}

static void
on_done (void *owner, struct evhttp_request *answer)
{
  caller_t *self = owner;

  self->done = true;
  if (!self->stream)
    self->body = evbuffer_get_length (evhttp_request_get_input_buffer (answer));
  event_base_loopbreak (self->base);
}

static void
on_failed (void *owner, bool sent, httpc_failure_t failure)
{
  caller_t *self = owner;

  self->failed = true;
  self->sent = sent;
  self->failure = failure;
  event_base_loopbreak (self->base);
}

static const httpc_ops_t ops = { on_head, on_data, on_done, on_failed };

static void
call_once (caller_t *self)
{
  struct evhttp_request *request = httpc_request_new ();

  self->done = self->failed = false;
  self->body = 0;
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", "test");
  assert_non_null (httpc_call (&self->pool,
                               request,
                               EVHTTP_REQ_GET,
                               "/x",
                               &ops,
                               self,
                               g_get_monotonic_time () / 1000));
  event_base_dispatch (self->base);
}

static void
call_server (caller_t *self, server_t *server)
{
  pthread_t thread;

  listen_on_loopback (server);
  pthread_create (&thread, NULL, serve, server);
  self->base = event_base_new ();
  httpc_pool_init (&self->pool, self->base, TEXT ("127.0.0.1"), server->port, 300);
  call_once (self);
  if (server->answers_twice)
    call_once (self);
  httpc_pool_finish (&self->pool);
  event_base_free (self->base);
  pthread_join (thread, NULL);
  close (server->listener);
}

static void
expect_whole (const char *answer, size_t body, bool stream)
{
  server_t server = { .answer = answer, .stays = true };
  caller_t caller = { .stream = stream };

  call_server (&caller, &server);
  assert_true (caller.done);
  assert_int_equal (caller.body, body);
}

static void
expect_failure (const char *answer, bool stays, bool stream, httpc_failure_t failure)
{
  server_t server = { .answer = answer, .stays = stays };
  caller_t caller = { .stream = stream };

  call_server (&caller, &server);
  assert_true (caller.failed);
  assert_true (caller.sent);
  assert_int_equal (caller.failure, failure);
}

#define SIZED "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static void
test_whole_answers (void **state)
{
  (void)state;
  expect_whole (SIZED "hello", 5, false);
  expect_whole (SIZED "hello", 5, true);
  expect_whole (CHUNKED "3\r\nabc\r\n0\r\n\r\n", 3, false);
  expect_whole (CHUNKED "3\r\nabc\r\n0\r\n\r\n", 3, true);
}

static void
test_cut_answers (void **state)
{
  (void)state;
  expect_failure (SIZED "hel", false, false, HTTPC_CUT);
  expect_failure (SIZED "hel", false, true, HTTPC_CUT);
  expect_failure (CHUNKED "3\r\nabc\r\n", false, false, HTTPC_CUT);
  expect_failure (CHUNKED "3\r\nabc\r\n", false, true, HTTPC_CUT);
  /* Without a length there is no telling whether the end is the end. */
  expect_failure ("HTTP/1.1 200 OK\r\n\r\nhel", false, false, HTTPC_CUT);
  expect_failure ("HTTP/1.1 200 OK\r\n\r\nhel", false, true, HTTPC_CUT);
}

static void
test_lost_before_the_head (void **state)
{
  (void)state;
  expect_failure (NULL, false, false, HTTPC_LOST);
  expect_failure ("HTTP/1.1 2", false, false, HTTPC_LOST);
}

/* Bytes of a call that was given up must not arrive once a broken link is back. */
static void
test_a_call_that_is_given_up_resets_its_connection (void **state)
{
  server_t silent = { .stays = true };
  server_t whole = { .answer = SIZED "hello", .stays = true };
  caller_t caller = { 0 };

  (void)state;
  call_server (&caller, &silent);
  assert_int_equal (caller.failure, HTTPC_SILENT);
  assert_int_not_equal (silent.last_error, 0);
  call_server (&caller, &whole);
  assert_true (caller.done);
  assert_int_equal (whole.last_error, 0);
}

static void
test_silent_connection (void **state)
{
  (void)state;
  expect_failure (NULL, true, false, HTTPC_SILENT);
  expect_failure (SIZED "he", true, false, HTTPC_SILENT);
}

static void
test_refused_connection_sent_nothing (void **state)
{
  server_t server = { 0 };
  caller_t caller = { .base = event_base_new () };

  (void)state;
  listen_on_loopback (&server);
  close (server.listener);
  httpc_pool_init (&caller.pool, caller.base, TEXT ("127.0.0.1"), server.port, 300);
  call_once (&caller);
  assert_true (caller.failed);
  assert_false (caller.sent);
  assert_int_equal (caller.failure, HTTPC_UNREACHABLE);
  httpc_pool_finish (&caller.pool);
  event_base_free (caller.base);
}

static void
test_connection_is_used_again (void **state)
{
  server_t server = { .answer = SIZED "hello", .stays = true, .answers_twice = true };
  caller_t caller = { 0 };

  (void)state;
  /* The server takes one connection only: a second one would never be answered. */
  call_server (&caller, &server);
  assert_true (caller.done);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_whole_answers),
    cmocka_unit_test (test_cut_answers),
    cmocka_unit_test (test_lost_before_the_head),
    cmocka_unit_test (test_silent_connection),
    cmocka_unit_test (test_a_call_that_is_given_up_resets_its_connection),
    cmocka_unit_test (test_refused_connection_sent_nothing),
    cmocka_unit_test (test_connection_is_used_again),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
