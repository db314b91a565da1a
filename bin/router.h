#pragma once

/* ROUTER: the router on the platform.  Returns the process's exit code. */
int router_main (const char *settings_file);
