#include "SoakServer.h"

#include "platform/GatewayAddresses.h"
#include "platform/WireNames.h"

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
namespace wire = platform::wire;

constexpr milliseconds workStep{10};

// A leaving server keeps serving for a little longer than the drain limit of the ledger.
constexpr milliseconds drainTime{2600};

std::string text(const HttpRequest &request, std::string_view name)
{
    return std::string(request.headers.value(name));
}

} // namespace

SoakServer::SoakServer(const SoakServerSettings &settings, int place, std::string service,
                       std::string domain)
    : settings_(settings)
    , place_(place)
    , service_(std::move(service))
    , domain_(std::move(domain))
    , listenAddress_(platform::test::freeEndpoint(settings.loop))
    , registeredAddress_(platform::test::freeEndpoint(settings.loop))
    , random_(settings.seed + static_cast<std::uint64_t>(place))
{
    link = standins::createTcpLink(settings.loop.io(), registeredAddress_.port, listenAddress_.port,
                                   settings.dice);
}

SoakServer::~SoakServer()
{
    if (server_)
        server_->stop();
}

void SoakServer::start(bool sameId, const std::optional<std::string> &service)
{
    ++incarnation_;
    if (!sameId || id_.empty())
        id_ = "i-" + std::to_string(place_) + '-' + std::to_string(incarnation_);
    service_ = service.value_or(service_);
    misbehavior = {};
    auto server = HttpServer::create(
        settings_.loop, {.listen = listenAddress_},
        [this](const auto &request, auto &responder) { handle(request, responder); });
    server_ = std::move(server).value();
    settings_.ledger.returned(id_);
    becomeCold();
}

void SoakServer::crash(bool leaveEntry)
{
    if (!server_)
        return;
    // Moved out first, because other fault series check the server while stop() waits.
    const auto ending = std::move(server_);
    link->rules.reset = true;
    link->rulesChanged();
    ending->stop();
    link->rules.reset = false;
    if (!leaveEntry)
        removeEntry();
}

void SoakServer::leave(bool announced)
{
    if (announced)
        writeEntry(true);
    else
        removeEntry();
    settings_.ledger.withdrawn(id_, Clock::now());
    EventLoop::sleepFor(drainTime);
    removeEntry();
    crash(false);
}

void SoakServer::becomeCold()
{
    coldUntil_ = Clock::now() + coldTime;
    settings_.ledger.cold(id_, coldUntil_);
    writeEntry();
}

void SoakServer::writeEntry(bool draining)
{
    const auto left = std::max(milliseconds(0),
                               std::chrono::duration_cast<milliseconds>(coldUntil_ - Clock::now()));
    settings_.store.put(std::string(wire::serverKeys) + id_,
                        R"({"service":")" + service_ + R"(","address":")"
                            + toString(registeredAddress_) + R"(","zone":")" + domain_
                            + R"(","version":"v1","slots":16,"state":")"
                            + (draining ? "draining" : "ready") + R"(","cold_left_ms":)"
                            + std::to_string(left.count()) + R"(,"sequence":1,"born":)"
                            + std::to_string(1'000'000 + incarnation_) + '}');
}

void SoakServer::removeEntry()
{
    settings_.store.remove(std::string(wire::serverKeys) + id_);
}

bool SoakServer::work(milliseconds time, const HttpResponder &responder)
{
    for (const auto end = Clock::now() + time; Clock::now() < end;) {
        if (responder.callerGone())
            return false;
        EventLoop::sleepFor(workStep);
    }
    return !responder.callerGone();
}

void SoakServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    const Arrival arrival{text(request, wire::attemptId),
                          id_,
                          request.target,
                          request.body,
                          text(request, wire::workspace),
                          request.headers.find(wire::credential).has_value(),
                          Clock::now()};
    HttpHeaders headers{{std::string(wire::attemptId), arrival.id}};
    if (text(request, wire::expectServer) != id_) {
        responder.send(421, headers, "another server");
        return;
    }
    settings_.ledger.arrived(arrival);
    if (chance(misbehavior.rejects)) {
        headers.add(wire::notExecuted, "1");
        responder.send(503, headers, "full");
        return;
    }
    const auto seal = id_ + '.' + std::to_string(++runs_);
    settings_.ledger.runs(arrival, seal);
    if (misbehavior.hangs) {
        work(std::chrono::minutes(1), responder);
        return;
    }
    const milliseconds time(std::uniform_int_distribution<int>(10, 60)(random_)
                            * misbehavior.slowness);
    if (!work(time, responder)) {
        settings_.ledger.finished(arrival.id, seal, 0, {}, Clock::now());
        return;
    }
    headers.add(wire::seal, seal);
    headers.add(wire::serverLoad,
                std::to_string(server_ ? server_->activeRequests() : 0) + ",0,16");
    if (chance(misbehavior.errors)) {
        settings_.ledger.finished(arrival.id, seal, 500, "failed", Clock::now());
        responder.send(500, headers, "failed");
        return;
    }
    if (arrival.path.find("stream") != std::string::npos) {
        headers.add("Content-Type", "text/event-stream");
        responder.startStream(200, headers);
        sendStream(arrival, seal, request, responder);
        return;
    }
    const auto body = "answer to " + arrival.id + " of " + seal;
    settings_.ledger.finished(arrival.id, seal, 200, body, Clock::now());
    if (chance(misbehavior.breaks)) {
        // Returns without the final chunk, so the response is truncated.
        responder.startStream(200, headers);
        responder.write(body.substr(0, body.size() / 2));
        return;
    }
    responder.send(200, headers, body);
}

void SoakServer::sendStream(const Arrival &arrival, const std::string &seal,
                            const HttpRequest &request, HttpResponder &responder)
{
    constexpr milliseconds pause{25};
    const auto last = text(request, wire::lastEventId);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const int brokenAt = chance(misbehavior.breaks)
        ? std::uniform_int_distribution<int>(1, streamEvents)(random_)
        : streamEvents + 1;
    for (int event = first; event <= streamEvents; ++event) {
        if (event == brokenAt || !work(pause * misbehavior.slowness, responder)) {
            settings_.ledger.finished(arrival.id, seal, 0, {}, Clock::now());
            return;
        }
        responder.write(formatEvent({std::to_string(event), "", arrival.id + ' ' + seal}));
    }
    settings_.ledger.finished(arrival.id, seal, 200, {}, Clock::now());
    responder.endStream();
}

} // namespace jy::soak
