#pragma once

/* ROUTER: runs the router on the platform until SIGTERM or SIGINT.  Returns the process's
 * exit code: 0, 3 (invalid settings) or 4 (start failed). */
int router_main (const char *settings_file);
