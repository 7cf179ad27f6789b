#pragma once

#include "SoakFleet.h"

namespace jy::soak {

/**
 * One caller: asks for addresses, keeps the answer, and sends one request after the other on its
 * open connections, to each instance until the connection fails.
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
    /** A refusal of the newest route or key is a finding once the bound has passed. */
    void checkConfig(const Call &call, const Answer &answer);
    Answer sendPlain(const Call &call, const HttpRequest &request, const HttpCallOptions &options);
    Answer sendStream(const Call &call, const HttpRequest &request, const HttpCallOptions &options);
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
