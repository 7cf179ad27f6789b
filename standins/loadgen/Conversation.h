#pragma once

#include "RouterClient.h"

namespace jy::standins {

/** One returning chat. Every turn repeats the earlier messages, as chat callers do. */
class Conversation
{
public:
    struct Settings
    {
        std::string workspace;
        std::string chat;
        int maxTokens = 8;
        int maxTurns = 10;
        double streamShare = 0.7;
    };

    Conversation(RouterClient &client, const LoadSettings &load, Settings settings);

    /** Sends the next turn and checks what comes back. */
    CallRecord nextTurn(std::mt19937_64 &random);

private:
    HttpRequest buildRequest(bool stream) const;

    RouterClient &client_;
    const LoadSettings &load_;
    Settings settings_;
    int turn_ = 0;
    int restarts_ = 0;
    boost::json::array messages_;
};

} // namespace jy::standins
