#pragma once

#include "common/Samples.h"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jy::standins {

/** How a request ended for the caller. */
enum class CallEnd {
    Complete,
    Refused, /**< an error response; its kind says why */
    Interrupted, /**< a started response ended with an error event */
    SilentEnd, /**< a stream ended without its end mark and without an error event */
    Truncated, /**< the connection ended within a response, visible to the caller */
    NoRouter, /**< no router could be reached */
};

/** What was received for one request, compared with what its own prompt promises. */
struct ReceivedParts
{
    int expected = 0;
    int received = 0;
    int duplicate = 0;
    int missing = 0;
    int foreign = 0;
};

/** One logical request, after its retries. */
struct CallRecord
{
    CallEnd end = CallEnd::NoRouter;
    std::string errorKind;
    std::string effect;
    int attempts = 0;
    int redirects = 0;
    double firstTokenMs = 0;
    double totalMs = 0;
    std::vector<double> tokenGapsMs;
    ReceivedParts parts;

    /** Share of the prompt that the engine found in its cache; negative when not reported. */
    double cachedShare = -1;

    /** Engine and version that answered. */
    std::string servedBy;
};

/** Collects the records of one run. */
class Report
{
public:
    explicit Report(std::chrono::steady_clock::time_point start)
        : start_(start)
    { }

    void addChat(const CallRecord &record);
    void addBooking(const std::string &key, const CallRecord &record);

    boost::json::object toJson() const;

private:
    struct Second
    {
        std::uint64_t complete = 0;
        std::uint64_t failed = 0;
    };

    void addEnd(const CallRecord &record);

    std::chrono::steady_clock::time_point start_;
    std::map<std::int64_t, Second> seconds_;
    std::map<std::string, std::uint64_t> ends_;
    std::map<std::string, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> servedBy_;
    std::map<std::string, std::string> bookings_;
    std::uint64_t chats_ = 0;
    std::uint64_t completeChats_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t redirects_ = 0;
    ReceivedParts violations_;
    std::uint64_t incomplete_ = 0;
    Samples firstToken_;
    Samples gaps_;
    Samples total_;
    Samples cached_;
};

} // namespace jy::standins
