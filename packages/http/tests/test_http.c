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
} fixture_t;

static bool
on_head (void *owner)
{
  fixture_t *self = owner;

  self->heads++;
  return !self->no_body;
}

static void
on_body (void *owner, text_t bytes)
{
  fixture_t *self = owner;

  g_string_append_len (self->body, bytes.at, (gssize)bytes.len);
}

static const http_reader_ops_t ops = { on_head, on_body };

static void
setup (fixture_t *self, http_message_kind_t kind)
{
  *self = (fixture_t){ .in = evbuffer_new (), .body = g_string_new (NULL) };
  http_reader_init (&self->reader, kind, HEAD_MAX, &ops, self);
}

static void
teardown (fixture_t *self)
{
  http_reader_finish (&self->reader);
  evbuffer_free (self->in);
  g_string_free (self->body, TRUE);
}

static http_progress_t
feed (fixture_t *self, const char *bytes)
{
  evbuffer_add (self->in, bytes, strlen (bytes));
  return http_reader_consume (&self->reader, self->in);
}

static http_progress_t
feed_bytewise (fixture_t *self, const char *bytes)
{
  http_progress_t progress = HTTP_INCOMPLETE;

  for (; *bytes != 0 && progress == HTTP_INCOMPLETE; bytes++)
    {
      evbuffer_add (self->in, bytes, 1);
      progress = http_reader_consume (&self->reader, self->in);
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
test_content_length_ends_the_body_and_later_bytes_stay (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture, HTTP_RESPONSES);
  assert_int_equal (
      feed (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A:  b \r\n\r\nabcHTTP"),
      HTTP_COMPLETE);
  assert_string_equal (fixture.body->str, "abc");
  assert_int_equal (evbuffer_get_length (fixture.in), 4);
  assert_int_equal (fixture.reader.head.status, 200);
  assert_text (http_head_get (&fixture.reader.head, TEXT ("x-a")), "b");
  assert_true (fixture.reader.head.has_framing);
  assert_false (fixture.reader.in_message);
  teardown (&fixture);
}

static void
test_chunked_body_ends_with_the_last_chunk (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture, HTTP_RESPONSES);
  assert_int_equal (
      feed (&fixture,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
      HTTP_INCOMPLETE);
  assert_int_equal (http_reader_eof (&fixture.reader), HTTP_MALFORMED);
  teardown (&fixture);
  setup (&fixture, HTTP_RESPONSES);
  assert_int_equal (
      feed_bytewise (
          &fixture,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
      HTTP_COMPLETE);
  assert_string_equal (fixture.body->str, "abc");
  teardown (&fixture);
}

static void
test_unframed_response_ends_with_the_connection (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture, HTTP_RESPONSES);
  assert_int_equal (feed (&fixture, "HTTP/1.1 200 OK\r\n\r\nabc"), HTTP_INCOMPLETE);
  assert_false (fixture.reader.head.has_framing);
  assert_int_equal (http_reader_eof (&fixture.reader), HTTP_COMPLETE);
  teardown (&fixture);
}

static void
test_truncated_response_is_not_complete (void **state)
{
  static const char *const truncated[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nCont",
          "HTT" };
  fixture_t fixture;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (truncated); i++)
    {
      setup (&fixture, HTTP_RESPONSES);
      assert_int_equal (feed (&fixture, truncated[i]), HTTP_INCOMPLETE);
      assert_int_not_equal (http_reader_eof (&fixture.reader), HTTP_COMPLETE);
      teardown (&fixture);
    }
}

static void
test_request_smuggling_is_rejected (void **state)
{
  static const char *const requests[] = {
    ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n"),
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost : a\r\n\r\n",
    "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
    "\x16\x03\x01\x02 tls hello",
  };
  fixture_t fixture;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      setup (&fixture, HTTP_REQUESTS);
      assert_int_equal (feed (&fixture, requests[i]), HTTP_MALFORMED);
      teardown (&fixture);
    }
}

static void
test_pipelined_requests_are_read_one_at_a_time (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture, HTTP_REQUESTS);
  assert_int_equal (
      feed (&fixture,
            "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n"),
      HTTP_COMPLETE);
  assert_text (http_head_start_text (&fixture.reader.head), "/a");
  assert_int_equal (http_reader_consume (&fixture.reader, fixture.in), HTTP_COMPLETE);
  assert_text (http_head_start_text (&fixture.reader.head), "/b");
  assert_int_equal (fixture.heads, 2);
  teardown (&fixture);
}

static void
test_oversized_head_is_rejected (void **state)
{
  fixture_t fixture;
  char filler[HEAD_MAX];

  (void)state;
  setup (&fixture, HTTP_REQUESTS);
  memset (filler, 'a', sizeof filler - 1);
  filler[sizeof filler - 1] = 0;
  feed (&fixture, "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ");
  assert_int_equal (feed (&fixture, filler), HTTP_TOO_LARGE);
  teardown (&fixture);
}

static void
test_response_to_head_has_no_body (void **state)
{
  fixture_t fixture;

  (void)state;
  setup (&fixture, HTTP_RESPONSES);
  fixture.no_body = true;
  assert_int_equal (feed (&fixture, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
                    HTTP_COMPLETE);
  teardown (&fixture);
}

static void
test_header_lists_and_hop_by_hop_headers (void **state)
{
  (void)state;
  assert_true (http_list_has (TEXT ("keep-alive, X-Foo"), TEXT ("x-foo")));
  assert_false (http_list_has (TEXT ("keep-alive, X-Foo"), TEXT ("foo")));
  assert_true (http_header_is_hop_by_hop (TEXT ("Transfer-Encoding")));
  assert_false (http_header_is_hop_by_hop (TEXT ("Content-Type")));
}

static void
test_response_cut_at_any_byte_is_not_complete (void **state)
{
  static const struct
  {
    const char *bytes;
    const char
        *head; /* of a response that ends with its connection; NULL: it is framed */
  } responses[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: 9c41\r\n\r\nhello", NULL },
    { "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nContent-Length: 12\r\n\r\nhello, world",
      NULL },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
      NULL },
    { "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nConnection: close\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nConnection: close\r\n\r\n" },
  };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (responses); i++)
    {
      size_t end
          = strlen (responses[i].head != NULL ? responses[i].head : responses[i].bytes);
      for (size_t cut = 0; cut < end; cut++)
        for (int bytewise = 0; bytewise < 2; bytewise++)
          {
            char *part = g_strndup (responses[i].bytes, cut);
            fixture_t fixture;
            setup (&fixture, HTTP_RESPONSES);
            http_progress_t progress
                = bytewise ? feed_bytewise (&fixture, part) : feed (&fixture, part);
            assert_int_equal (progress, HTTP_INCOMPLETE);
            assert_int_not_equal (http_reader_eof (&fixture.reader), HTTP_COMPLETE);
            teardown (&fixture);
            g_free (part);
          }
    }
}

static void
test_a_status_outside_the_protocol_is_no_response (void **state)
{
  static const char *const statuses[]
      = { "000",  "0",   "20",  "099", "600", "999", "1000",
          "2000", "101", "020", "",    "-1",  "2x0" };
  static const char *const valid[]
      = { "100", "102", "103", "199", "200", "299", "304", "404", "503", "599" };

  (void)state;
  for (int bytewise = 0; bytewise < 2; bytewise++)
    for (size_t i = 0; i < G_N_ELEMENTS (statuses) + G_N_ELEMENTS (valid); i++)
      {
        bool is_valid = i >= G_N_ELEMENTS (statuses);
        const char *status = is_valid ? valid[i - G_N_ELEMENTS (statuses)] : statuses[i];
        char *bytes = g_strdup_printf ("HTTP/1.1 %s Unknown\r\nContent-Length: 0\r\n\r\n",
                                       status);
        fixture_t fixture;
        setup (&fixture, HTTP_RESPONSES);
        http_progress_t progress
            = bytewise ? feed_bytewise (&fixture, bytes) : feed (&fixture, bytes);
        if (progress != (is_valid ? HTTP_COMPLETE : HTTP_MALFORMED)
            || fixture.heads != is_valid)
          print_error ("status \"%s\", bytewise %d: progress %d, %u heads\n",
                       status,
                       bytewise,
                       (int)progress,
                       fixture.heads);
        assert_int_equal (progress, is_valid ? HTTP_COMPLETE : HTTP_MALFORMED);
        assert_int_equal (fixture.heads, is_valid);
        teardown (&fixture);
        g_free (bytes);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_content_length_ends_the_body_and_later_bytes_stay),
    cmocka_unit_test (test_chunked_body_ends_with_the_last_chunk),
    cmocka_unit_test (test_unframed_response_ends_with_the_connection),
    cmocka_unit_test (test_truncated_response_is_not_complete),
    cmocka_unit_test (test_response_cut_at_any_byte_is_not_complete),
    cmocka_unit_test (test_request_smuggling_is_rejected),
    cmocka_unit_test (test_pipelined_requests_are_read_one_at_a_time),
    cmocka_unit_test (test_oversized_head_is_rejected),
    cmocka_unit_test (test_response_to_head_has_no_body),
    cmocka_unit_test (test_a_status_outside_the_protocol_is_no_response),
    cmocka_unit_test (test_header_lists_and_hop_by_hop_headers),
  };

  return cmocka_run_group_tests_name ("http", tests, NULL, NULL);
}
