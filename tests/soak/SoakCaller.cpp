#include "SoakCaller.h"

#include "platform/WireNames.h"

#include <array>

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
namespace wire = platform::wire;

constexpr milliseconds routeTimeout{2500};

// Callers cache the addresses from the directory for their lifetime of two seconds.
constexpr seconds addressLifetime{2};

// Late responses are still read for this long, to measure how late they are.
constexpr milliseconds lateReadTime{1500};

// One request in twenty is cancelled early.
constexpr int giveUpOneIn = 20;

struct CallKindPrefix
{
    std::string_view prefix;
    CallKind kind;
};

constexpr std::array kinds = {
    CallKindPrefix{"/safe/", CallKind::Safe},
    CallKindPrefix{"/unsafe/", CallKind::Unsafe},
    CallKindPrefix{"/stream/", CallKind::ResumableStream},
    CallKindPrefix{"/plain-stream/", CallKind::PlainStream},
};

} // namespace

SoakCaller::SoakCaller(SoakFleet &fleet, int number)
    : fleet_(fleet)
    , number_(number)
    , random_(fleet.settings().seed * 1000 + static_cast<std::uint64_t>(number))
    , client_(HttpClient::create(fleet.loop(), {}))
{ }

void SoakCaller::run(const bool &stopped)
{
    while (!stopped) {
        chooseAddress();
        if (hasAddress_)
            callOnce();
        EventLoop::sleepFor(milliseconds(number(5, 120)));
    }
}

void SoakCaller::chooseAddress()
{
    const auto now = Clock::now();
    if (now > addressesFrom_ + addressLifetime) {
        auto fresh = fleet_.resolveAddresses(random_);
        if (!fresh.empty()) {
            addresses_ = std::move(fresh);
            addressesFrom_ = now;
        }
        if (hasAddress_ && std::ranges::find(addresses_, address_) == addresses_.end())
            hasAddress_ = false;
    }
    if (hasAddress_ || addresses_.empty())
        return;
    address_ =
        addresses_[static_cast<std::size_t>(number(0, static_cast<int>(addresses_.size()) - 1))];
    hasAddress_ = true;
}

Call SoakCaller::draw()
{
    const auto &kind = kinds[static_cast<std::size_t>(number(0, kinds.size() - 1))];
    Call call;
    call.id = std::to_string(number_) + 'x' + std::to_string(++sequence_);
    call.kind = kind.kind;
    call.path = std::string(kind.prefix) + call.id + "?n=" + std::to_string(sequence_);
    call.body = "body of " + call.id + std::string(static_cast<std::size_t>(number(0, 2000)), '.');
    call.workspace = number(0, 1) == 0 ? "w1" : "w2";
    call.maxServers = 2;
    call.allowed = std::min(routeTimeout, milliseconds(number(800, 4000)));
    return call;
}

void SoakCaller::callOnce()
{
    auto call = draw();
    std::string key = call.workspace == "w1" ? "key-1" : "key-2";
    constexpr int probeOneIn = 10;
    if (number(1, probeOneIn) == 1) {
        // Uses the route and the key that only the newest configuration has.
        const auto version = std::to_string(fleet_.config().version);
        call.kind = CallKind::Safe;
        call.path = "/v" + version + '/' + call.id;
        call.workspace = "w1";
        call.probe = true;
        key = "key-" + version;
    }
    send(call, key);
}

void SoakCaller::send(const Call &drawn, std::string_view key)
{
    auto call = drawn;
    const auto *gateway = fleet_.gatewayAt(address_);
    call.instance = gateway->place().id;
    call.sent = Clock::now();
    HttpRequest request{.method = "POST", .target = call.path, .body = call.body};
    request.headers = {{"Host", "h"},
                       {std::string(wire::attemptId), call.id},
                       {std::string(wire::deadline), std::to_string(call.allowed.count())},
                       {std::string(wire::credential), std::string(key)}};
    if (isStream(call.kind)) {
        request.headers.add(wire::tokenCount, "300,60");
        request.headers.add(wire::promptPrefix,
                            "aa" + std::to_string(number(1, 8)) + ":200," + std::to_string(number_)
                                + ":100");
    }
    HttpCallOptions options{.cancellation = Cancellation::create(), .keepHost = true};
    auto open = std::make_shared<bool>(true);
    if (number(1, giveUpOneIn) == 1) {
        EventLoop::spawn([this, open, id = call.id, cancellation = options.cancellation,
                          after = milliseconds(number(1, 400))] {
            EventLoop::sleepFor(after);
            if (!*open)
                return;
            fleet_.ledger.callerLeft(id, Clock::now());
            cancellation->cancel();
        });
    }
    fleet_.ledger.sent(call);
    const auto result = isStream(call.kind) ? sendStream(call, request, options)
                                            : sendPlain(call, request, options);
    *open = false;
    fleet_.ledger.answered(call.id, result);
    if (call.probe && (result.status == 401 || result.status == 404))
        checkConfig(call, result);
    if (result.status == 0)
        hasAddress_ = false;
}

void SoakCaller::checkConfig(const Call &call, const CallResult &result)
{
    const auto &bounds = fleet_.ledger.bounds();
    const auto version = std::to_string(fleet_.config().version);
    const auto from = call.sent - bounds.stableWindow - bounds.configApply;
    if (call.path.starts_with("/v" + version + '/')
        && call.sent > fleet_.config().at + bounds.configApply
        && fleet_.disturbances.undisturbed(call.instance, from, result.at)
        && fleet_.disturbances.undisturbed("store", from, result.at))
        fleet_.ledger.note("CONFIG",
                           "id=" + call.id + " instance=" + call.instance
                               + " does not know version " + version);
}

CallResult SoakCaller::sendPlain(const Call &call, const HttpRequest &request,
                                 const HttpCallOptions &options)
{
    CallResult result;
    const auto response = client_->request(address_, request, call.allowed + lateReadTime, options);
    result.at = Clock::now();
    if (!response) {
        result.closed = response.error().kind == ErrorKind::BackendBroken;
        return result;
    }
    result.status = response.value().status;
    result.seal = response.value().headers.value(wire::seal);
    result.text = response.value().body;
    if (result.status < 500 && response.value().headers.value(wire::attemptId) != call.id
        && !result.seal.empty())
        fleet_.ledger.note("MIXED", "id=" + call.id + " got the response of another request");
    return result;
}

CallResult SoakCaller::sendStream(const Call &call, const HttpRequest &request,
                                  const HttpCallOptions &options)
{
    constexpr seconds silence{5};
    CallResult result;
    auto stream = client_->open(address_, request, call.allowed + lateReadTime, options);
    result.at = Clock::now();
    if (!stream) {
        result.closed = stream.error().kind == ErrorKind::BackendBroken;
        return result;
    }
    const int status = stream.value()->status();
    const std::string seal(stream.value()->headers().value(wire::seal));
    SseParser parser;
    int next = 1;
    std::string marks;
    while (true) {
        const auto part = stream.value()->readSome(silence);
        result.at = Clock::now();
        if (!part) {
            result.closed = part.error().kind == ErrorKind::BackendBroken;
            return result;
        }
        if (part.value().empty())
            break;
        if (status != 200)
            continue;
        const auto parsed = parser.feed(part.value());
        if (!parsed) {
            fleet_.ledger.note("ORDER", "id=" + call.id + " unreadable event");
            return result;
        }
        for (const auto &event : parsed.value()) {
            const auto mark = event.data.substr(event.data.find(' ') + 1);
            if (event.id != std::to_string(next) || !event.data.starts_with(call.id + ' '))
                fleet_.ledger.note("ORDER",
                                   "id=" + call.id + " event " + event.id + " for "
                                       + std::to_string(next) + ": " + event.data);
            if (marks.find(mark) == std::string::npos)
                marks += mark + ' ';
            ++next;
        }
    }
    result.status = status;
    result.seal = seal;
    if (status != 200)
        return result;
    if (next != streamEvents + 1 || parser.hasPartialEvent())
        fleet_.ledger.note(
            "ORDER", "id=" + call.id + " complete after " + std::to_string(next - 1) + " events");
    if (call.kind == CallKind::PlainStream && std::ranges::count(marks, ' ') > 1)
        fleet_.ledger.note("ORDER", "id=" + call.id + " joins runs " + marks);
    return result;
}

} // namespace jy::soak
