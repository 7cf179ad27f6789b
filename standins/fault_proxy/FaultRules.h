#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace jy::standins {

/** Faults of one proxied port. All are off by default and can be changed while traffic flows. */
struct FaultRules
{
    /** Added to each chunk or datagram in each direction. */
    std::chrono::milliseconds delay{0};

    /** Upper bound of a uniformly distributed additional delay. */
    std::chrono::milliseconds jitter{0};

    /** Share of datagrams that are lost, or of new connections that are reset. */
    double drop = 0;

    /** Share of datagrams that are held back by @ref reorderDelay, so that later ones pass them. */
    double reorder = 0;
    std::chrono::milliseconds reorderDelay{20};

    /** Resets open and new connections; drops all datagrams. */
    bool reset = false;

    /** Discards what flows to the target, without closing anything. */
    bool cutForward = false;

    /** Discards what flows back to the caller, without closing anything. */
    bool cutBackward = false;

    /** Limit for each connection and direction; zero for none. */
    std::uint64_t bytesPerSecond = 0;

    /** Number of further responses to replace by a connection reset. */
    int loseAnswers = 0;
};

/** Sets the fields that @p json names and leaves the others. Throws on a wrong type. */
inline void updateRules(FaultRules &rules, const boost::json::object &json)
{
    const auto number = [&](const char *name, auto &field) {
        if (const auto *value = json.if_contains(name))
            field = value->to_number<std::decay_t<decltype(field)>>();
    };
    const auto millis = [&](const char *name, std::chrono::milliseconds &field) {
        if (const auto *value = json.if_contains(name))
            field = std::chrono::milliseconds(value->to_number<std::int64_t>());
    };
    const auto flag = [&](const char *name, bool &field) {
        if (const auto *value = json.if_contains(name))
            field = value->as_bool();
    };
    millis("delay_ms", rules.delay);
    millis("jitter_ms", rules.jitter);
    number("drop", rules.drop);
    number("reorder", rules.reorder);
    millis("reorder_delay_ms", rules.reorderDelay);
    flag("reset", rules.reset);
    flag("cut_forward", rules.cutForward);
    flag("cut_backward", rules.cutBackward);
    number("bytes_per_second", rules.bytesPerSecond);
    number("lose_answers", rules.loseAnswers);
}

/** Seeded source of the random faults of one process. */
class FaultDice
{
public:
    explicit FaultDice(std::uint64_t seed)
        : engine_(seed)
    { }

    bool hits(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(engine_) < share;
    }

    std::chrono::milliseconds delayFor(const FaultRules &rules)
    {
        if (rules.jitter.count() <= 0)
            return rules.delay;
        return rules.delay
            + std::chrono::milliseconds(
                   std::uniform_int_distribution<std::int64_t>(0, rules.jitter.count())(engine_));
    }

private:
    std::mt19937_64 engine_;
};

} // namespace jy::standins
