#include "jy_gateway/relay/RelayExchange.h"

#include "jy_gateway/relay/ResponseRules.h"
#include "jy_runtime/logging/Log.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Used when the caller states no timeout.
constexpr milliseconds defaultCallerTimeout{30000};

// A repeatable request that can be retried waits for a response head for this multiple of the
// route's latency target.
constexpr int headPatienceFactor = 2;
constexpr milliseconds shortestAttempt{250};

// Responses up to this size are buffered, so that the request can be retried if the connection
// breaks. Longer ones are forwarded as they arrive; most responses are a few kilobytes.
constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;

// A longer response is treated as endless and aborted.
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;

// Events are usually a few hundred bytes; a longer one is treated as malformed.
constexpr std::size_t maxEventBytes = 256 * 1024;

// Whether no byte of the request reached the server.
bool isUnsent(ErrorKind kind)
{
    return kind == ErrorKind::ConnectFailed || kind == ErrorKind::ServerLeaving
        || kind == ErrorKind::Overloaded;
}

} // namespace

RelayExchange::RelayExchange(RequestRelay &relay, const HttpRequest &request,
                             HttpResponder &responder, std::shared_ptr<const RoutingConfig> config,
                             const Route &route, const RequestMetadata &metadata,
                             WorkspaceId workspace, int priority, TimePoint start)
    : relay_(relay)
    , request_(request)
    , responder_(responder)
    , config_(std::move(config))
    , route_(route)
    , metadata_(metadata)
    , workspace_(std::move(workspace))
    , priority_(priority)
    , start_(start)
    , deadline_(start
                + std::min(metadata.callerTimeout.value_or(defaultCallerTimeout), route.timeout))
    , bufferLease_(relay.dependencies_.bodyBudget)
    , retry_(retryHooks())
    , silenceTimer_(relay.dependencies_.loop.io(),
                    [this] { return moveFromSilentServer(outcome_.server); })
{
    query_.service = pickService(route, relay.draw());
    keys_ = keysOf(request, metadata.prompt);
    query_.affinity = route.cachesPrompts ? promptAffinity(metadata.prompt) : 0;
    query_.sharedTokens = sharedTokens(metadata.prompt);
    if (query_.affinity == 0)
        return;
    query_.holders = relay.dependencies_.prompts.find(query_.affinity, start);
    outcome_.prompt = PromptCacheIndex::keyOf(query_.affinity);
    outcome_.holders = query_.holders.size();
    outcome_.sharedTokens = query_.sharedTokens;
}

RelayOutcome RelayExchange::run()
{
    relay_.budgetFor(query_.service).recordAttempt(start_);
    if (const auto wait = relay_.dependencies_.quarantine.check(keys_, Clock::now())) {
        refuseQuarantined(*wait);
        return outcome_;
    }
    auto placement = place();
    if (placement.server.empty()) {
        outcome_.placement = placement.reason;
        refuse(placement);
        return outcome_;
    }
    relay_.dependencies_.loads.requestStarted(placement.server);
    while (true) {
        const auto step = attempt(placement);
        if (step == Step::Done)
            break;
        if (responder_.callerGone()) {
            outcome_.reason = "caller-gone";
            break;
        }
        if (!mayTryAgain(step)) {
            giveUp();
            break;
        }
        placement = retry_.take();
    }
    return outcome_;
}

RelayExchange::Step RelayExchange::attempt(const Placement &placement)
{
    auto &dependencies = relay_.dependencies_;
    responseStarted_ = false;
    const auto counted = absl::MakeCleanup(
        [&] { dependencies.loads.requestFinished(placement.server, responseStarted_); });
    const auto *server = dependencies.fleet.findServer(placement.server);
    if (!server)
        return Step::NotSent;
    // A copy: the entry may be removed while this fiber is suspended.
    const auto registered = server->entry;
    const auto outgoingRequest = outgoing(*server, placement.copySource);
    beginSample(*server);
    query_.tried.insert(registered.id);
    outcome_.server = registered.id;
    outcome_.placement = placement.reason;
    outcome_.load = placement.load;
    outcome_.copySource = placement.copySource;
    ++outcome_.attempts;
    logEvent(LogLevel::Debug, "attempt",
             {{"request", metadata_.id},
              {"server", registered.id},
              {"reason", toString(placement.reason)},
              {"load", placement.load},
              {"copy_from", placement.copySource},
              {"candidates", placement.candidates},
              {"time_left_ms", timeLeft()}});
    // Triggered when the caller disconnects, or when the request moves to another server.
    const auto cancellation = Cancellation::create();
    const auto registration =
        responder_.cancellation()->onCancel([cancellation] { cancellation->cancel(); });
    beginWatch(registered.id, cancellation);
    const auto watched = absl::MakeCleanup([&] {
        silenceTimer_.stop();
        attemptCancellation_.reset();
        dependencies.stalls.requestEnded(registered.id, watch_);
    });
    began_ = false;
    auto opened = dependencies.client.open(registered.endpoint, outgoingRequest, remainingWait(),
                                           callOptions(registered.id, cancellation));
    awaitsHead_ = false;
    if (opened || !isUnsent(opened.error().kind))
        ++sentTo_;
    if (opened)
        return relayResponse(*opened.value(), registered);
    if (opened.error().kind == ErrorKind::BackendBroken)
        noteBroken(registered.id, BreakPoint::BeforeHead);
    return fail(opened.error(), registered.id);
}

void RelayExchange::beginWatch(const ServerId &server,
                               const std::shared_ptr<Cancellation> &cancellation)
{
    moved_ = false;
    keptLogged_ = false;
    awaitsHead_ = true;
    attemptStart_ = Clock::now();
    std::function<void()> onStall;
    if (route_.repeatable()) {
        attemptCancellation_ = cancellation;
        onStall = [this, server] { moveFromSilentServer(server); };
        silenceTimer_.start(headPatience(), attemptStart_);
    }
    silenceTimeout_ = relay_.waits_.silenceTimeout(route_.name, route_.latencyTarget);
    watch_ = relay_.dependencies_.stalls.requestSent(server, silenceTimeout_, attemptStart_,
                                                     std::move(onStall));
}

HttpCallOptions RelayExchange::callOptions(const ServerId &server,
                                           const std::shared_ptr<Cancellation> &cancellation)
{
    HttpCallOptions options;
    options.cancellation = cancellation;
    options.keepHost = true;
    options.isOwnResponse = [this](int status, const HttpHeaders &headers) {
        const auto response = relay_.dependencies_.protocol.readResponseMetadata(status, headers);
        return response.requestId.empty() || response.requestId == metadata_.id.value();
    };
    options.beforeSend = [this, server] {
        sentAt_ = Clock::now();
        return mayStillSend(server);
    };
    return options;
}

HttpRequest RelayExchange::outgoing(const ServerState &server, const ServerId &cachedAt) const
{
    ForwardMetadata forward;
    forward.server = server.entry.id;
    forward.timeLeft = remainingWait();
    forward.workspace = workspace_;
    forward.lastEventId = events_.lastId().empty() ? metadata_.lastEventId : events_.lastId();
    if (const auto *source = relay_.dependencies_.fleet.findServer(cachedAt))
        forward.cacheSource = source->entry.endpoint;
    if (route_.cachesPrompts)
        forward.priority = priority_;
    HttpRequest copy;
    copy.method = request_.method;
    copy.target = request_.target;
    copy.headers = relay_.dependencies_.protocol.headersForServer(request_.headers, forward);
    copy.body = request_.body;
    return copy;
}

Result<void> RelayExchange::mayStillSend(const ServerId &server) const
{
    const auto &dependencies = relay_.dependencies_;
    const auto now = Clock::now();
    const auto *state = dependencies.fleet.findServer(server);
    if (!state || !dependencies.fleet.isEligible(*state, now))
        return failure(ErrorKind::ServerLeaving, "the server left while connecting to it");
    if (dependencies.backoff.until(server, now))
        return failure(ErrorKind::Overloaded,
                       "the server asked for a back-off while connecting to it");
    return success();
}

RelayExchange::Step RelayExchange::fail(const Error &error, const ServerId &server)
{
    lastError_ = error;
    switch (error.kind) {
    case ErrorKind::Cancelled:
        if (moved_ && !responder_.callerGone()) {
            const auto now = Clock::now();
            const auto waited = now - attemptStart_;
            // Recorded here because the server may have no other request left that would time out.
            // A wait that is usual for the route is not the server's fault.
            if (waited > silenceTimeout_ || relay_.dependencies_.stalls.isStalled(server, now))
                record(server, ServerOutcome::TimedOut);
            recordForRollout(false);
            if (!responseStarted_ && waited >= headPatience())
                recordWait();
            mayHaveRun_ = true;
            lastError_ = {ErrorKind::DeadlineExceeded, "the backend server is silent", {}};
            return Step::MayHaveRun;
        }
        // A caller that leaves a silent server shows the same as a timeout.
        if (!responseStarted_ && Clock::now() - attemptStart_ > silenceTimeout_)
            recordForRollout(false);
        outcome_.reason = "caller-gone";
        return Step::Done;
    case ErrorKind::ConnectFailed:
        record(server, ServerOutcome::Unreachable);
        return Step::NotSent;
    case ErrorKind::ServerLeaving:
    case ErrorKind::Overloaded:
        return Step::NotSent;
    case ErrorKind::DeadlineExceeded:
        recordForRollout(false);
        // A wait that is usual for the route is not the server's fault.
        if (Clock::now() - attemptStart_ > silenceTimeout_)
            record(server, ServerOutcome::TimedOut);
        if (!responseStarted_)
            recordWait();
        mayHaveRun_ = true;
        return Step::MayHaveRun;
    default:
        // The response was lost, so the server has most likely begun to run the request.
        noteBegan(sentAt_);
        record(server, ServerOutcome::Failed);
        recordForRollout(false);
        mayHaveRun_ = true;
        return Step::MayHaveRun;
    }
}

RelayExchange::Step RelayExchange::relayResponse(HttpStream &stream,
                                                 const RegisteredServer &registered)
{
    const auto metadata =
        relay_.dependencies_.protocol.readResponseMetadata(stream.status(), stream.headers());
    relay_.dependencies_.stalls.dataReceived(registered.id, watch_, route_.pauseTarget,
                                             Clock::now());
    silenceTimer_.stop();
    recordWait();
    applyServerState(metadata, registered);
    const auto &server = registered.id;
    const auto responseClass = classifyResponse(stream.status(), metadata, metadata_.id);
    // A stream runs from its first token on, everything else once it was sent.
    if (responseClass != ResponseClass::NotRun && !metadata.eventStream)
        noteBegan(sentAt_);
    switch (responseClass) {
    case ResponseClass::NotRun:
        lastError_ = {ErrorKind::NoCapacity, "the backend server refused the request",
                      retryAfter(PlacementReason::AllFull)};
        record(server, ServerOutcome::Failed);
        return Step::NotRun;
    case ResponseClass::Unusable:
        return fail({ErrorKind::BackendBroken,
                     "unusable response with status " + std::to_string(stream.status())},
                    server);
    case ResponseClass::Failed:
    case ResponseClass::Deliver:
        break;
    }
    if (stream.status() / 100 == 2 && metadata.eventStream)
        return relayEvents(stream, server);
    if (responder_.started())
        return fail({ErrorKind::BackendBroken,
                     "status " + std::to_string(stream.status()) + " does not continue the stream"},
                    server);
    return relayBuffered(stream, server);
}

RelayExchange::Step RelayExchange::relayBuffered(HttpStream &stream, const ServerId &server)
{
    HttpResponse response{stream.status(), stream.headers(), {}};
    const auto released = absl::MakeCleanup([this] { bufferLease_.release(); });
    while (true) {
        auto part = stream.readSome(deadline_);
        if (!part && part.error().kind == ErrorKind::BackendBroken)
            noteBroken(server, response.body.empty() ? BreakPoint::AfterHead : BreakPoint::InBody);
        if (!part)
            return fail(part.error(), server);
        if (part.value().empty())
            return finishBuffered(std::move(response), server);
        response.body += part.value();
        if (response.body.size() > maxBufferedResponseBytes
            || !bufferLease_.resize(response.body.size()))
            return relayUnbuffered(stream, server, std::move(response.body));
    }
}

RelayExchange::Step RelayExchange::finishBuffered(HttpResponse response, const ServerId &server)
{
    const bool failed = response.status >= 500;
    outcome_.firstPart = Clock::now() - start_;
    if (response.status / 100 == 2)
        recordCompleted(server);
    else {
        record(server, failed ? ServerOutcome::Failed : ServerOutcome::Succeeded);
        recordForRollout(!failed);
    }
    if (failed && route_.repeatable()) {
        mayHaveRun_ = true;
        serverFailure_ = std::move(response);
        lastError_ = {ErrorKind::BackendFailed, "the backend server failed", {}};
        return Step::MayHaveRun;
    }
    outcome_.status = response.status;
    outcome_.reason = failed ? "server-failure" : "answered";
    responder_.send(response);
    return Step::Done;
}

RelayExchange::Step RelayExchange::relayUnbuffered(HttpStream &stream, const ServerId &server,
                                                   std::string begin)
{
    // An error response is delivered only whole, and only if no other server succeeds.
    if (stream.status() >= 500)
        return fail({ErrorKind::BackendBroken, "the error response is too long"}, server);
    mayHaveRun_ = true;
    unbufferedStarted_ = true;
    std::size_t total = begin.size();
    auto part = Result<std::string>(std::move(begin));
    if (!startResponse(stream))
        return callerLeft();
    while (part && !part.value().empty()) {
        if (!responder_.write(part.value()))
            return callerLeft();
        if (total > maxResponseBytes)
            return fail({ErrorKind::BackendBroken, "the response is too long"}, server);
        part = stream.readSome(deadline_);
        total += part ? part.value().size() : 0;
    }
    if (!part)
        return fail(part.error(), server);
    recordCompleted(server);
    responder_.endStream();
    outcome_.reason = "answered";
    return Step::Done;
}

RelayExchange::Step RelayExchange::callerLeft()
{
    outcome_.reason = "caller-gone";
    return Step::Done;
}

bool RelayExchange::startResponse(const HttpStream &stream)
{
    if (responder_.started())
        return true;
    outcome_.status = stream.status();
    return responder_.startStream(stream.status(), stream.headers());
}

RelayExchange::Step RelayExchange::relayEvents(HttpStream &stream, const ServerId &server)
{
    mayHaveRun_ = true;
    // Progress is measured in events, as a stalled server may still send single bytes.
    if (isResumable())
        silenceTimer_.start(relay_.settings_.resumeSilence, Clock::now());
    bool gotEvent = false;
    while (true) {
        auto part = stream.readSome(deadline_);
        if (!part) {
            events_.dropRemainder();
            if (part.error().kind == ErrorKind::BackendBroken)
                noteBroken(server, gotEvent ? BreakPoint::InBody : BreakPoint::AfterHead);
            return fail(part.error(), server);
        }
        if (part.value().empty())
            break;
        const auto received = Clock::now();
        relay_.dependencies_.stalls.dataReceived(server, watch_, route_.pauseTarget, received);
        if (outcome_.firstPart.count() == 0)
            outcome_.firstPart = received - start_;
        else
            outcome_.longestPause = std::max(outcome_.longestPause, received - lastPart_);
        lastPart_ = received;
        notePart(received);
        if (!responseStarted_) {
            responseStarted_ = true;
            noteBegan(received);
            relay_.dependencies_.loads.responseStarted(server);
            if (query_.affinity != 0)
                relay_.dependencies_.prompts.addFromResponse(query_.affinity, query_.sharedTokens,
                                                             server, received);
        }
        const auto events = events_.add(part.value());
        if (events_.madeProgress()) {
            silenceTimer_.progress(Clock::now());
            gotEvent = true;
        }
        if (events_.remainder() > maxEventBytes || !bufferLease_.resize(events_.remainder())) {
            events_.dropRemainder();
            return fail({ErrorKind::BackendBroken, "an event is too long to buffer"}, server);
        }
        if (events.empty())
            continue;
        if (!startResponse(stream) || !responder_.write(events))
            return callerLeft();
    }
    if (events_.hasRemainder()) {
        events_.dropRemainder();
        return fail({ErrorKind::BackendBroken, "the stream ended within an event"}, server);
    }
    if (!gotEvent && !responder_.started() && stream.endsWithConnection()) {
        noteBroken(server, BreakPoint::AfterHead);
        return fail({ErrorKind::BackendBroken, "the stream ended before its first event"}, server);
    }
    recordCompleted(server);
    if (startResponse(stream))
        responder_.endStream();
    outcome_.reason = "answered";
    return Step::Done;
}

Duration RelayExchange::timeLeft() const
{
    return deadline_ - Clock::now();
}

milliseconds RelayExchange::remainingWait() const
{
    return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(timeLeft()));
}

milliseconds RelayExchange::headPatience() const
{
    return std::max(shortestAttempt, headPatienceFactor * route_.latencyTarget);
}

bool RelayExchange::isResumable() const
{
    return route_.kind == RequestKind::Stream && route_.resumable;
}

} // namespace jy
