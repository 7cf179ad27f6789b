// The part of RelayExchange that passes the body of a response on to the caller.

#include "jy_gateway/relay/RelayExchange.h"

#include <absl/cleanup/cleanup.h>

#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;

// Responses up to this size are buffered, so that the request can be retried if the connection
// breaks. Longer ones are forwarded as they arrive; most responses are a few kilobytes.
constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;

// A longer response is treated as endless and aborted.
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;

// Events are usually a few hundred bytes; a longer one is treated as malformed.
constexpr std::size_t maxEventBytes = 256 * 1024;

} // namespace

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
    // The server is done, however slowly the caller reads.
    place_.release();
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

} // namespace jy
