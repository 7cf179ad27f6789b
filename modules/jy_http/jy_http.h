#pragma once

/**
 * jy_http: HTTP/1.1 server and client on fibers, input limits and server-sent events. It contains
 * nothing specific to routing. No public header includes Boost.Beast.
 */

#include "jy_http/client/HttpClient.h"
#include "jy_http/client/HttpStream.h"
#include "jy_http/messages/ByteBudget.h"
#include "jy_http/messages/Cancellation.h"
#include "jy_http/messages/HttpHeaders.h"
#include "jy_http/messages/HttpMessage.h"
#include "jy_http/server/CallerMemory.h"
#include "jy_http/server/CallerMemoryShares.h"
#include "jy_http/server/HttpResponder.h"
#include "jy_http/server/HttpServer.h"
#include "jy_http/sse/SseParser.h"
