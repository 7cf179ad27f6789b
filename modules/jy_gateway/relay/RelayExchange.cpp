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
    query_.ownTokens = metadata.prompt.back().tokens;
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
    if (!awaitPlace())
        return outcome_;
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
            extraPlace_.reset();
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
              {"expected_ms", attempt.placement.expected},
              {"pace", attempt.placement.pacePercent},
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
    if (attempt.responseStarted)
        dependencies.reports.requestEnded(query_.service, Clock::now() - attempt.start);
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
    options.body = request_.body;
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
    noteClosed(attempt, error);
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
    if (attempt.responseClass != ResponseClass::NotRun && !metadata.eventStream) {
        noteBegan(attempt, attempt.sentAt);
        noteStart(attempt, Clock::now());
    }
    if (attempt.responseClass == ResponseClass::Deliver && !attempt.eventStream)
        relay_.dependencies_.reports.responseStarted(query_.service, attempt.server.id,
                                                     Clock::now() - attempt.start, Clock::now());
    const auto status = "status " + std::to_string(stream.status());
    if (attempt.responseClass == ResponseClass::NotRun) {
        lastError_ = {ErrorKind::NoCapacity, "the backend server refused the request",
                      retryAfter(PlacementReason::AllFull)};
        noteRefusal(metadata);
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
