#pragma once

#include "SoakFleet.h"

namespace jy::soak {

/**
 * Simulated caller: resolves addresses, caches them, and sends requests one at a time to the same
 * instance until the connection fails or the directory no longer lists it.
 */
class SoakCaller
{
public:
    SoakCaller(SoakFleet &fleet, int number);

    /** Sends requests until @p stopped. */
    void run(const bool &stopped);

private:
    void chooseAddress();
    void callOnce();
    void send(const Call &call, std::string_view key);
    /** Reports a refusal of the newest route or key once the configuration must be applied. */
    void checkConfig(const Call &call, const CallResult &result);
    CallResult sendPlain(const Call &call, const HttpRequest &request,
                         const HttpCallOptions &options);
    CallResult sendStream(const Call &call, const HttpRequest &request,
                          const HttpCallOptions &options);
    Call draw();
    int number(int low, int high) { return std::uniform_int_distribution(low, high)(random_); }

    SoakFleet &fleet_;
    int number_;
    std::uint64_t sequence_ = 0;
    std::mt19937_64 random_;
    std::unique_ptr<HttpClient> client_;
    std::vector<Endpoint> addresses_;
    TimePoint addressesFrom_;
    Endpoint address_;
    bool hasAddress_ = false;
};

} // namespace jy::soak
