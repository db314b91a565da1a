#pragma once

#define CHICORYWOOD_VERSION "0.1.0"
