#pragma once

/**
 * jy_runtime: what every process is built on: fibers on an Asio loop, supervision, settings, logs,
 * metrics and the event memory. It knows nothing of routing.
 */

#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/fibers/FiberToken.h"
