#include "Report.h"

namespace jy::standins {

namespace {

std::string nameOf(CallEnd end)
{
    switch (end) {
    case CallEnd::Complete:
        return "complete";
    case CallEnd::Refused:
        return "refused";
    case CallEnd::Interrupted:
        return "interrupted";
    case CallEnd::SilentEnd:
        return "silent_end";
    case CallEnd::Truncated:
        return "truncated";
    case CallEnd::NoRouter:
        return "no_router";
    }
    return "no_router";
}

} // namespace

void Report::addEnd(const CallRecord &record)
{
    ++ends_[nameOf(record.end)];
    attempts_ += static_cast<std::uint64_t>(record.attempts);
    redirects_ += static_cast<std::uint64_t>(record.redirects);
    if (!record.errorKind.empty())
        ++refusals_[record.errorKind];
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start_);
    Second &bucket = seconds_[second.count()];
    ++(record.end == CallEnd::Complete ? bucket.complete : bucket.failed);
}

void Report::addChat(const CallRecord &record)
{
    ++chats_;
    addEnd(record);
    violations_.duplicate += record.parts.duplicate;
    violations_.missing += record.parts.missing;
    violations_.foreign += record.parts.foreign;
    // A response that ends as if it were complete must contain every part.
    const bool claimsComplete = record.end == CallEnd::Complete || record.end == CallEnd::SilentEnd;
    if (claimsComplete && record.parts.received != record.parts.expected)
        ++incomplete_;
    if (record.end != CallEnd::Complete)
        return;
    ++completeChats_;
    ++servedBy_[record.servedBy];
    firstToken_.add(record.firstTokenMs);
    total_.add(record.totalMs);
    for (const double gap : record.tokenGapsMs)
        gaps_.add(gap);
    if (record.cachedShare >= 0)
        cached_.add(record.cachedShare);
}

void Report::addBooking(const std::string &key, const CallRecord &record)
{
    addEnd(record);
    if (record.end == CallEnd::Complete)
        bookings_[key] = "done";
    else
        bookings_[key] = record.effect.empty() ? "unknown" : record.effect;
}

boost::json::object Report::toJson() const
{
    using boost::json::object;
    using boost::json::value_from;
    object timeline;
    for (const auto &[second, bucket] : seconds_)
        timeline[std::to_string(second)] = {bucket.complete, bucket.failed};
    const double share =
        chats_ == 0 ? 1.0 : static_cast<double>(completeChats_) / static_cast<double>(chats_);
    return object{
        {"chats", chats_},
        {"complete_chats", completeChats_},
        {"success_share", share},
        {"attempts", attempts_},
        {"redirects", redirects_},
        {"ends", value_from(ends_)},
        {"errors", value_from(refusals_)},
        {"first_token_ms",
         object{{"p50", firstToken_.quantile(0.5)}, {"p95", firstToken_.quantile(0.95)}}},
        {"between_tokens_ms", object{{"p95", gaps_.quantile(0.95)}}},
        {"total_ms", object{{"p50", total_.quantile(0.5)}, {"p95", total_.quantile(0.95)}}},
        {"cached_share", cached_.mean()},
        {"violations",
         object{{"incomplete", incomplete_},
                {"duplicate_parts", violations_.duplicate},
                {"missing_parts", violations_.missing},
                {"foreign_parts", violations_.foreign}}},
        {"served_by", value_from(servedBy_)},
        {"bookings", value_from(bookings_)},
        {"seconds", timeline}};
}

} // namespace jy::standins
