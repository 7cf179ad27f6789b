#pragma once

/**
 * jy_runtime: what every process is built on: fibers on an Asio loop, supervision, settings, logs,
 * metrics and the event buffer. It knows nothing of routing.
 */

#include "jy_runtime/events/Event.h"
#include "jy_runtime/events/EventBuffer.h"
#include "jy_runtime/events/EventJson.h"
#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/fibers/FiberToken.h"
#include "jy_runtime/logging/Log.h"
#include "jy_runtime/metrics/Metrics.h"
#include "jy_runtime/program/FreedMemory.h"
#include "jy_runtime/program/ProcessSignals.h"
#include "jy_runtime/program/ProgramOptions.h"
#include "jy_runtime/settings/RouterSettings.h"
#include "jy_runtime/settings/Settings.h"
#include "jy_runtime/supervision/RestartLimiter.h"
#include "jy_runtime/supervision/StopToken.h"
#include "jy_runtime/supervision/Supervisor.h"
