#pragma once

#include "jy_http/HttpTestServer.h"
#include "jy_platform/engine/EngineClient.h"

#include <deque>

namespace jy::test {

/** How a ScriptedEngine behaves; one entry of @ref breakAfter is used up by each connection. */
struct EngineScript
{
    int events = 5;

    /** Number of events after which a connection breaks. */
    std::deque<int> breakAfter;

    bool sendsIds = true;
    bool resumes = true;

    /** Answers a resume with a new generation from the start, as an engine without it does. */
    bool ignoresResume = false;

    /** Event that is left out, repeated or replaced by an error event; 0 for none. */
    int skip = 0;
    int repeat = 0;
    int errorAt = 0;

    /** Status of every chat request. */
    int status = 200;

    /** Waits before the response head, and within the stream after the first event. */
    std::chrono::milliseconds headDelay{0};
    std::chrono::milliseconds eventDelay{0};
};

/** An engine whose faults are given by a script. */
class ScriptedEngine
{
public:
    ScriptedEngine(EventLoop &loop, EngineScript engineScript)
        : script(std::move(engineScript))
    {
        server_ = HttpServer::create(loop, {}, [this](const auto &request, auto &responder) {
                      handle(request, responder);
                  }).value();
    }

    Endpoint endpoint() const { return server_->localEndpoint(); }

    EngineScript script;
    std::vector<HttpRequest> chats;
    std::vector<std::string> cancelled;

private:
    void handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.method == "DELETE") {
            cancelled.emplace_back(request.path().substr(std::string("/v1/requests/").size()));
            responder.send(204, {}, {});
            return;
        }
        chats.push_back(request);
        EventLoop::sleepFor(script.headDelay);
        const auto last = request.headers.find("Last-Event-ID");
        if (last && !script.resumes && !script.ignoresResume)
            return (void)responder.send(404, {}, {});
        if (script.status != 200)
            return (void)responder.send(script.status, {}, "{\"detail\":\"scripted\"}");
        if (request.body.find("\"stream\":true") == std::string::npos)
            return (void)responder.send(200, {{"X-Cache-Hit", "true"}}, "{\"answer\":1}");
        const bool resumed = last && !script.ignoresResume;
        HttpHeaders headers{{"Content-Type", "text/event-stream"}};
        if (resumed)
            headers.add("X-Resumed-From", *last);
        responder.startStream(200, headers);
        if (stream(responder, resumed ? std::stoi(std::string(*last)) : 0))
            responder.endStream();
    }

    bool stream(HttpResponder &responder, int from)
    {
        int left = std::numeric_limits<int>::max();
        if (!script.breakAfter.empty()) {
            left = script.breakAfter.front();
            script.breakAfter.pop_front();
        }
        for (int id = from + 1; id <= script.events + 1; ++id) {
            if (left-- == 0)
                return false;
            if (id == std::exchange(script.skip, id == script.skip ? 0 : script.skip))
                continue;
            ServerSentEvent event{.data =
                                      id > script.events ? "[DONE]" : "token" + std::to_string(id)};
            if (script.sendsIds)
                event.id = std::to_string(id);
            if (id == script.errorAt)
                event = {.event = "error", .data = "{\"error\":{\"message\":\"scripted\"}}"};
            if (!responder.write(formatEvent(event)))
                return false;
            if (id == script.repeat)
                responder.write(formatEvent(event));
            EventLoop::sleepFor(script.eventDelay);
        }
        return true;
    }

    std::unique_ptr<HttpServer> server_;
};

} // namespace jy::test
