#include "../http_reader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <cmocka.h>
#include <string.h>

#define HEAD_MAX 1024

typedef struct
{
  http_reader_t reader;
  struct evbuffer *in;
  GString *body;
  uint32_t heads;
  bool no_body;
} world_t;

static bool
on_head (void *owner)
{
  world_t *self = owner;

  self->heads++;
  return !self->no_body;
}

static void
on_body (void *owner, text_t bytes)
{
  world_t *self = owner;

  g_string_append_len (self->body, bytes.at, (gssize)bytes.len);
}

static const http_reader_ops_t ops = { on_head, on_body };

static void
begin (world_t *self, http_side_t side)
{
  *self = (world_t){ .in = evbuffer_new (), .body = g_string_new (NULL) };
  http_reader_init (&self->reader, side, HEAD_MAX, &ops, self);
}

static void
end (world_t *self)
{
  http_reader_finish (&self->reader);
  evbuffer_free (self->in);
  g_string_free (self->body, TRUE);
}

static http_progress_t
feed (world_t *self, const char *bytes)
{
  evbuffer_add (self->in, bytes, strlen (bytes));
  return http_reader_take (&self->reader, self->in);
}

static http_progress_t
feed_bytewise (world_t *self, const char *bytes)
{
  http_progress_t progress = HTTP_MORE;

  for (; *bytes != 0 && progress == HTTP_MORE; bytes++)
    {
      evbuffer_add (self->in, bytes, 1);
      progress = http_reader_take (&self->reader, self->in);
    }
  return progress;
}

static void
assert_text (text_t text, const char *expected)
{
  assert_int_equal (text.len, strlen (expected));
  assert_memory_equal (text.at, expected, text.len);
}

static void
test_a_length_ends_the_body_and_the_rest_stays (void **state)
{
  world_t world;

  (void)state;
  begin (&world, HTTP_ANSWERS);
  assert_int_equal (
      feed (&world, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A:  b \r\n\r\nabcHTTP"),
      HTTP_COMPLETE);
  assert_string_equal (world.body->str, "abc");
  assert_int_equal (evbuffer_get_length (world.in), 4);
  assert_int_equal (world.reader.head.status, 200);
  assert_text (http_head_get (&world.reader.head, TEXT ("x-a")), "b");
  assert_true (world.reader.head.framed);
  assert_false (world.reader.begun);
  end (&world);
}

static void
test_chunks_end_with_the_last (void **state)
{
  world_t world;

  (void)state;
  begin (&world, HTTP_ANSWERS);
  assert_int_equal (
      feed (&world, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
      HTTP_MORE);
  assert_int_equal (http_reader_end (&world.reader), HTTP_BROKEN);
  end (&world);
  begin (&world, HTTP_ANSWERS);
  assert_int_equal (
      feed_bytewise (
          &world,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
      HTTP_COMPLETE);
  assert_string_equal (world.body->str, "abc");
  end (&world);
}

static void
test_an_unframed_answer_ends_with_the_connection (void **state)
{
  world_t world;

  (void)state;
  begin (&world, HTTP_ANSWERS);
  assert_int_equal (feed (&world, "HTTP/1.1 200 OK\r\n\r\nabc"), HTTP_MORE);
  assert_false (world.reader.head.framed);
  assert_int_equal (http_reader_end (&world.reader), HTTP_COMPLETE);
  end (&world);
}

static void
test_a_cut_answer_is_not_complete (void **state)
{
  static const char *const cuts[] = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                                      "HTTP/1.1 200 OK\r\nCont",
                                      "HTT" };
  world_t world;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      begin (&world, HTTP_ANSWERS);
      assert_int_equal (feed (&world, cuts[i]), HTTP_MORE);
      assert_int_not_equal (http_reader_end (&world.reader), HTTP_COMPLETE);
      end (&world);
    }
}

static void
test_smuggling_shapes_are_refused (void **state)
{
  static const char *const shapes[] = {
    ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n"),
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost : a\r\n\r\n",
    "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
    "\x16\x03\x01\x02 tls hello",
  };
  world_t world;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (shapes); i++)
    {
      begin (&world, HTTP_REQUESTS);
      assert_int_equal (feed (&world, shapes[i]), HTTP_BROKEN);
      end (&world);
    }
}

static void
test_pipelined_requests_come_one_at_a_time (void **state)
{
  world_t world;

  (void)state;
  begin (&world, HTTP_REQUESTS);
  assert_int_equal (
      feed (&world,
            "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"),
      HTTP_COMPLETE);
  assert_text (http_head_start (&world.reader.head), "/a");
  assert_int_equal (http_reader_take (&world.reader, world.in), HTTP_COMPLETE);
  assert_text (http_head_start (&world.reader.head), "/b");
  assert_int_equal (world.heads, 2);
  end (&world);
}

static void
test_a_large_head_is_told (void **state)
{
  world_t world;
  char filler[HEAD_MAX];

  (void)state;
  begin (&world, HTTP_REQUESTS);
  memset (filler, 'a', sizeof filler - 1);
  filler[sizeof filler - 1] = 0;
  feed (&world, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");
  assert_int_equal (feed (&world, filler), HTTP_TOO_LARGE);
  end (&world);
}

static void
test_the_answer_to_head_has_no_body (void **state)
{
  world_t world;

  (void)state;
  begin (&world, HTTP_ANSWERS);
  world.no_body = true;
  assert_int_equal (feed (&world, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
                    HTTP_COMPLETE);
  end (&world);
}

static void
test_lists_and_hop_headers (void **state)
{
  (void)state;
  assert_true (http_list_has (TEXT ("keep-alive, X-Foo"), TEXT ("x-foo")));
  assert_false (http_list_has (TEXT ("keep-alive, X-Foo"), TEXT ("foo")));
  assert_true (http_header_is_hop (TEXT ("Transfer-Encoding")));
  assert_false (http_header_is_hop (TEXT ("Content-Type")));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_length_ends_the_body_and_the_rest_stays),
    cmocka_unit_test (test_chunks_end_with_the_last),
    cmocka_unit_test (test_an_unframed_answer_ends_with_the_connection),
    cmocka_unit_test (test_a_cut_answer_is_not_complete),
    cmocka_unit_test (test_smuggling_shapes_are_refused),
    cmocka_unit_test (test_pipelined_requests_come_one_at_a_time),
    cmocka_unit_test (test_a_large_head_is_told),
    cmocka_unit_test (test_the_answer_to_head_has_no_body),
    cmocka_unit_test (test_lists_and_hop_headers),
  };

  return cmocka_run_group_tests_name ("http", tests, NULL, NULL);
}
