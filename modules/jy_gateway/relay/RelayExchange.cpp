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

// Parts of a stream whose times are kept; their pauses show the speed of its server.
constexpr std::size_t maxPartTimes = 24;

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
    , silenceTimer_(relay.dependencies_.loop.io(), [this] { return startSuccessor(); })
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
    const auto ended = absl::MakeCleanup([this] {
        dropSuccessor();
        awaitSuccessorFibers();
    });
    current_ = makeAttempt(std::move(placement));
    while (true) {
        const auto step = follow(*current_);
        if (step == Step::Done)
            break;
        if (responder_.callerGone()) {
            outcome_.reason = "caller-gone";
            break;
        }
        if (successor_) {
            current_ = std::exchange(successor_, nullptr);
            continue;
        }
        if (!mayTryAgain(step)) {
            giveUp();
            break;
        }
        current_ = makeAttempt(retry_.take());
    }
    return outcome_;
}

std::shared_ptr<RelayAttempt> RelayExchange::makeAttempt(Placement placement)
{
    auto attempt = std::make_shared<RelayAttempt>();
    attempt->placement = std::move(placement);
    attempt->start = Clock::now();
    attempt->retryGranted = retryGranted_;
    attempt->cancellation = Cancellation::create();
    attempt->callerLeaves = responder_.cancellation()->onCancel(
        [cancellation = attempt->cancellation] { cancellation->cancel(); });
    return attempt;
}

void RelayExchange::open(RelayAttempt &attempt)
{
    auto &dependencies = relay_.dependencies_;
    attempt.number = ++outcome_.attempts;
    const auto *server = dependencies.fleet.findServer(attempt.placement.server);
    if (!server) {
        attempt.opened.emplace(failure(ErrorKind::ServerLeaving, "the server has left"));
        return;
    }
    attempt.server = server->entry;
    attempt.promptCached = promptCachedAt(*server);
    query_.tried.insert(attempt.server.id);
    const auto outgoingRequest = outgoing(*server, attempt.placement.copySource);
    logEvent(LogLevel::Debug, "attempt",
             {{"request", metadata_.id},
              {"server", attempt.server.id},
              {"reason", toString(attempt.placement.reason)},
              {"load", attempt.placement.load},
              {"copy_from", attempt.placement.copySource},
              {"candidates", attempt.placement.candidates},
              {"time_left_ms", timeLeft()}});
    watch(attempt);
    ++opening_;
    attempt.opened.emplace(dependencies.client.open(attempt.server.endpoint, outgoingRequest,
                                                    remainingWait(), callOptions(attempt)));
    --opening_;
    sentTo_ += attempt.reachedServer() ? 1 : 0;
}

RelayExchange::Step RelayExchange::follow(RelayAttempt &attempt)
{
    const auto ended = absl::MakeCleanup([&] {
        silenceTimer_.stop();
        end(attempt);
    });
    outcome_.server = attempt.placement.server;
    outcome_.placement = attempt.placement.reason;
    outcome_.load = attempt.placement.load;
    outcome_.copySource = attempt.placement.copySource;
    if (route_.repeatable())
        silenceTimer_.start(headPatience(), attempt.start);
    if (attempt.ownFiber)
        awaitOpened(attempt);
    else
        open(attempt);
    if (*attempt.opened && !attempt.replaced)
        return relayResponse(attempt, *attempt.opened->value());
    const auto error = attempt.replaced
        ? Error{ErrorKind::Cancelled, "another server has responded", {}}
        : attempt.opened->error();
    if (error.kind == ErrorKind::BackendBroken)
        noteBroken(attempt, BreakPoint::BeforeHead);
    return fail(attempt, error);
}

void RelayExchange::end(RelayAttempt &attempt)
{
    auto &dependencies = relay_.dependencies_;
    dependencies.loads.requestFinished(attempt.placement.server, attempt.responseStarted);
    if (attempt.watch != 0)
        dependencies.stalls.requestEnded(attempt.server.id, attempt.watch);
    attempt.opened.reset();
}

void RelayExchange::watch(RelayAttempt &attempt)
{
    std::function<void()> onStall;
    if (route_.repeatable())
        onStall = [this, &attempt] {
            if (current_.get() == &attempt)
                startSuccessor();
        };
    attempt.silenceTimeout = relay_.waits_.silenceTimeout(route_.name, route_.latencyTarget);
    attempt.watch = relay_.dependencies_.stalls.requestSent(
        attempt.server.id, attempt.silenceTimeout, attempt.start, std::move(onStall));
}

HttpCallOptions RelayExchange::callOptions(RelayAttempt &attempt)
{
    HttpCallOptions options;
    options.cancellation = attempt.cancellation;
    options.keepHost = true;
    options.isOwnResponse = [this](int status, const HttpHeaders &headers) {
        const auto response = relay_.dependencies_.protocol.readResponseMetadata(status, headers);
        return response.requestId.empty() || response.requestId == metadata_.id.value();
    };
    options.beforeSend = [this, &attempt]() -> Result<void> {
        BOOST_OUTCOME_TRYV2(auto &&, mayStillSend(attempt.server.id));
        attempt.sentAt = Clock::now();
        return success();
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

RelayExchange::Step RelayExchange::fail(RelayAttempt &attempt, const Error &error)
{
    lastError_ = error;
    const auto waited = Clock::now() - attempt.start;
    switch (error.kind) {
    case ErrorKind::Cancelled:
        if (attempt.replaced && !responder_.callerGone()) {
            // Recorded here because the server may have no other request left that would time out.
            // A wait that is usual for the route is not the server's fault.
            if (waited > attempt.silenceTimeout
                || relay_.dependencies_.stalls.isStalled(attempt.server.id, Clock::now()))
                record(attempt, ServerOutcome::TimedOut);
            recordForRollout(attempt, false);
            if (!attempt.responseStarted && waited >= headPatience())
                recordWait(attempt);
            mayHaveRun_ = true;
            lastError_ = {ErrorKind::DeadlineExceeded, "the backend server is silent", {}};
            return Step::MayHaveRun;
        }
        // A caller that leaves a silent server shows the same as a timeout.
        if (!attempt.responseStarted && waited > attempt.silenceTimeout)
            recordForRollout(attempt, false);
        outcome_.reason = "caller-gone";
        return Step::Done;
    case ErrorKind::ConnectFailed:
        record(attempt, ServerOutcome::Unreachable);
        return Step::NotSent;
    case ErrorKind::ServerLeaving:
    case ErrorKind::Overloaded:
        return Step::NotSent;
    case ErrorKind::DeadlineExceeded:
        recordForRollout(attempt, false);
        // A wait that is usual for the route is not the server's fault.
        if (waited > attempt.silenceTimeout)
            record(attempt, ServerOutcome::TimedOut);
        if (!attempt.responseStarted)
            recordWait(attempt);
        mayHaveRun_ = true;
        return Step::MayHaveRun;
    default:
        // The response was lost, so the server has most likely begun to run the request.
        noteBegan(attempt, attempt.sentAt);
        record(attempt, ServerOutcome::Failed);
        recordForRollout(attempt, false);
        mayHaveRun_ = true;
        return Step::MayHaveRun;
    }
}

std::optional<RelayExchange::Step> RelayExchange::evaluateHead(RelayAttempt &attempt,
                                                               const HttpStream &stream)
{
    const auto metadata =
        relay_.dependencies_.protocol.readResponseMetadata(stream.status(), stream.headers());
    relay_.dependencies_.stalls.dataReceived(attempt.server.id, attempt.watch, route_.pauseTarget,
                                             Clock::now());
    recordWait(attempt);
    applyServerState(metadata, attempt.server);
    attempt.eventStream = stream.status() / 100 == 2 && metadata.eventStream;
    attempt.responseClass = classifyResponse(stream.status(), metadata, metadata_.id);
    // A stream runs from its first token on, everything else once it was sent.
    if (attempt.responseClass != ResponseClass::NotRun && !metadata.eventStream)
        noteBegan(attempt, attempt.sentAt);
    const auto status = "status " + std::to_string(stream.status());
    if (attempt.responseClass == ResponseClass::NotRun) {
        lastError_ = {ErrorKind::NoCapacity, "the backend server refused the request",
                      retryAfter(PlacementReason::AllFull)};
        record(attempt, ServerOutcome::Failed);
        return Step::NotRun;
    }
    if (attempt.responseClass == ResponseClass::Unusable)
        return fail(attempt, {ErrorKind::BackendBroken, "unusable response with " + status});
    if (responder_.started() && !attempt.eventStream)
        return fail(attempt, {ErrorKind::BackendBroken, status + " does not continue the stream"});
    return std::nullopt;
}

RelayExchange::Step RelayExchange::relayResponse(RelayAttempt &attempt, HttpStream &stream)
{
    silenceTimer_.stop();
    if (!attempt.responseClass) {
        if (const auto step = evaluateHead(attempt, stream))
            return *step;
    }
    if (attempt.responseClass == ResponseClass::Deliver)
        dropSuccessor();
    return attempt.eventStream ? relayEvents(attempt, stream) : relayBuffered(attempt, stream);
}

RelayExchange::Step RelayExchange::relayBuffered(RelayAttempt &attempt, HttpStream &stream)
{
    HttpResponse response{stream.status(), stream.headers(), {}};
    const auto released = absl::MakeCleanup([this] { bufferLease_.release(); });
    while (true) {
        auto part = stream.readSome(deadline_);
        if (!part && part.error().kind == ErrorKind::BackendBroken)
            noteBroken(attempt, response.body.empty() ? BreakPoint::AfterHead : BreakPoint::InBody);
        if (!part)
            return fail(attempt, part.error());
        if (part.value().empty())
            return finishBuffered(attempt, std::move(response));
        response.body += part.value();
        if (response.body.size() > maxBufferedResponseBytes
            || !bufferLease_.resize(response.body.size()))
            return relayUnbuffered(attempt, stream, std::move(response.body));
    }
}

RelayExchange::Step RelayExchange::finishBuffered(RelayAttempt &attempt, HttpResponse response)
{
    const bool failed = response.status >= 500;
    outcome_.firstPart = Clock::now() - start_;
    if (response.status / 100 == 2)
        recordCompleted(attempt);
    else {
        record(attempt, failed ? ServerOutcome::Failed : ServerOutcome::Succeeded);
        recordForRollout(attempt, !failed);
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

RelayExchange::Step RelayExchange::relayUnbuffered(RelayAttempt &attempt, HttpStream &stream,
                                                   std::string begin)
{
    // An error response is delivered only whole, and only if no other server succeeds.
    if (stream.status() >= 500)
        return fail(attempt, {ErrorKind::BackendBroken, "the error response is too long"});
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
            return fail(attempt, {ErrorKind::BackendBroken, "the response is too long"});
        part = stream.readSome(deadline_);
        total += part ? part.value().size() : 0;
    }
    if (!part)
        return fail(attempt, part.error());
    recordCompleted(attempt);
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

RelayExchange::Step RelayExchange::relayEvents(RelayAttempt &attempt, HttpStream &stream)
{
    mayHaveRun_ = true;
    // Progress is measured in events, as a stalled server may still send single bytes.
    if (isResumable())
        silenceTimer_.start(relay_.settings_.resumeSilence, Clock::now());
    bool gotEvent = false;
    while (true) {
        auto part = stream.readSome(deadline_);
        // The successor continues after the last event passed on, so a part that arrived at the
        // same time is dropped.
        if (part && !part.value().empty() && attempt.replaced)
            part = failure(ErrorKind::Cancelled, "another server continues the stream");
        if (!part) {
            events_.dropRemainder();
            if (part.error().kind == ErrorKind::BackendBroken)
                noteBroken(attempt, gotEvent ? BreakPoint::InBody : BreakPoint::AfterHead);
            return fail(attempt, part.error());
        }
        if (part.value().empty())
            break;
        notePart(attempt, Clock::now());
        const auto events = events_.add(part.value());
        if (events_.madeProgress()) {
            silenceTimer_.progress(Clock::now());
            dropSuccessor();
            gotEvent = true;
        }
        if (events_.remainder() > maxEventBytes || !bufferLease_.resize(events_.remainder())) {
            events_.dropRemainder();
            return fail(attempt, {ErrorKind::BackendBroken, "an event is too long to buffer"});
        }
        if (!events.empty() && !passOn(stream, events))
            return callerLeft();
    }
    if (events_.hasRemainder()) {
        events_.dropRemainder();
        return fail(attempt, {ErrorKind::BackendBroken, "the stream ended within an event"});
    }
    if (!gotEvent && !responder_.started() && stream.endsWithConnection()) {
        noteBroken(attempt, BreakPoint::AfterHead);
        return fail(attempt, {ErrorKind::BackendBroken, "the stream ended before its first event"});
    }
    recordCompleted(attempt);
    if (startResponse(stream))
        responder_.endStream();
    outcome_.reason = "answered";
    return Step::Done;
}

void RelayExchange::notePart(RelayAttempt &attempt, TimePoint received)
{
    const auto &server = attempt.server.id;
    relay_.dependencies_.stalls.dataReceived(server, attempt.watch, route_.pauseTarget, received);
    if (outcome_.firstPart.count() == 0)
        outcome_.firstPart = received - start_;
    else
        outcome_.longestPause = std::max(outcome_.longestPause, received - lastPart_);
    lastPart_ = received;
    if (attempt.partTimes.size() < maxPartTimes)
        attempt.partTimes.push_back(received);
    if (std::exchange(attempt.responseStarted, true))
        return;
    noteBegan(attempt, received);
    relay_.dependencies_.loads.responseStarted(server);
    if (query_.affinity != 0)
        relay_.dependencies_.prompts.addFromResponse(query_.affinity, query_.sharedTokens, server,
                                                     received);
}

bool RelayExchange::passOn(const HttpStream &stream, const std::string &events)
{
    writing_ = true;
    const bool written = startResponse(stream) && responder_.write(events);
    writing_ = false;
    // The server was not read from while the caller was slow.
    if (events_.madeProgress())
        silenceTimer_.progress(Clock::now());
    return written;
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
