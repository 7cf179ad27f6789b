#include "ProtectedBench.h"

#include "jy_core/protected/AttemptLedger.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <functional>
#include <queue>
#include <random>

namespace jy::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto tickInterval = 10ms;
constexpr auto serviceTime = 100ms;
constexpr std::uint64_t seed = 11;

// Any time with keys of an admissible age; the simulation starts here.
constexpr std::int64_t epochMs = 1'750'000'000'000;

struct SimEvent
{
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;

    bool operator<(const SimEvent &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

class Simulation
{
public:
    Simulation(int rate, std::chrono::seconds span, const KvLatency &latency, int bodyBytes)
        : span_(span)
        , latency_(latency)
        , body_(static_cast<std::size_t>(bodyBytes), 'b')
    {
        cost_.callsPerSecond = rate;
    }

    ProtectedCallCost run()
    {
        std::uniform_real_distribution<double> when(0,
                                                    std::chrono::duration<double>(span_).count());
        const auto calls = cost_.callsPerSecond * span_.count();
        for (int i = 0; i < calls; ++i) {
            const auto at = TimePoint{}
                + std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(when(random_)));
            schedule(at, [this, i] { claim(i); });
        }
        for (auto at = TimePoint{}; at < TimePoint{} + span_ + 2s; at += tickInterval)
            schedule(at, [this] { perform(timed([&] { return ledger_.tick(now_); })); });
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        return finish(static_cast<double>(calls));
    }

private:
    void schedule(TimePoint at, std::function<void()> run)
    {
        events_.push({at, ++order_, std::move(run)});
    }

    template <class Body>
    auto timed(Body body) -> decltype(body())
    {
        timespec before{};
        timespec after{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
        auto result = body();
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
        cpu_ += std::chrono::seconds(after.tv_sec - before.tv_sec)
            + std::chrono::nanoseconds(after.tv_nsec - before.tv_nsec);
        return result;
    }

    ProtectedKey keyOf(int number) const
    {
        const auto ms = epochMs
            + std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch())
                  .count();
        std::array<char, 40> text{};
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x",
                      static_cast<unsigned long long>(ms >> 16),
                      static_cast<unsigned long long>(ms & 0xffff), static_cast<unsigned>(number));
        return parseProtectedKey(text.data()).value();
    }

    void claim(int number)
    {
        const auto key = keyOf(number);
        const auto ticket = timed([&] {
            return ledger_.claim(key, "attempt-" + std::to_string(number), 1, now_ + 2s, now_);
        });
        open_.emplace(ticket, Open{key, number, now_});
        perform(timed([&] { return ledger_.tick(now_); }));
    }

    void answered(AttemptLedger::Ticket ticket, const ClaimResult &answer)
    {
        const auto found = open_.find(ticket);
        if (found == open_.end())
            return;
        const auto open = found->second;
        open_.erase(found);
        latencies_.push_back(now_ - open.start);
        if (!std::holds_alternative<ClaimGranted>(answer)) {
            ++cost_.refused;
            return;
        }
        schedule(now_ + serviceTime, [this, open] {
            timed([&] {
                return ledger_.recordOutcome(open.key, "attempt-" + std::to_string(open.number), 1,
                                             {200, "application/json", body_}, now_ + 60s, now_);
            });
        });
    }

    void perform(AttemptLedger::Actions actions)
    {
        for (auto &action : actions) {
            if (auto *claim = std::get_if<AttemptLedger::ClaimCompleted>(&action))
                answered(claim->ticket, claim->result);
            else if (auto *read = std::get_if<AttemptLedger::ReadShard>(&action))
                schedule(now_ + latency_.read, [this, key = read->key] { readShard(key); });
            else if (auto *swap = std::get_if<AttemptLedger::SwapShard>(&action))
                schedule(now_ + latency_.write, [this, swap = *swap] { swapShard(swap); });
        }
    }

    void readShard(const std::string &key)
    {
        ++reads_;
        const auto found = values_.find(key);
        std::optional<KvValue> value;
        if (found != values_.end())
            value = found->second;
        perform(timed([&] { return ledger_.onRead(key, value, now_); }));
    }

    void swapShard(const AttemptLedger::SwapShard &swap)
    {
        ++writes_;
        bytes_ += static_cast<double>(swap.value.size());
        auto &value = values_[swap.key];
        value = {swap.value, ++index_};
        const auto index = index_;
        perform(timed([&] { return ledger_.onSwap(swap.key, index, now_); }));
    }

    ProtectedCallCost finish(double calls)
    {
        const auto seconds = std::chrono::duration<double>(span_).count();
        cost_.kvWritesPerSecond = static_cast<double>(writes_) / seconds;
        cost_.kvReadsPerSecond = static_cast<double>(reads_) / seconds;
        cost_.kvBytesPerSecond = bytes_ / seconds;
        cost_.cpuPerCall = std::chrono::duration<double, std::micro>(cpu_) / calls;
        std::sort(latencies_.begin(), latencies_.end());
        const auto at = [&](double share) {
            const auto position =
                static_cast<std::size_t>(share * static_cast<double>(latencies_.size() - 1));
            return std::chrono::duration_cast<std::chrono::microseconds>(latencies_[position]);
        };
        cost_.claimMedian = at(0.5);
        cost_.claim99th = at(0.99);
        return cost_;
    }

    struct Open
    {
        ProtectedKey key;
        int number;
        TimePoint start;
    };

    std::chrono::seconds span_;
    KvLatency latency_;
    std::string body_;
    ProtectedCallCost cost_;
    AttemptLedger ledger_;
    std::mt19937_64 random_{seed};
    std::priority_queue<SimEvent> events_;
    std::uint64_t order_ = 0;
    TimePoint now_;
    std::map<AttemptLedger::Ticket, Open> open_;
    std::map<std::string, KvValue> values_;
    std::uint64_t index_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    double bytes_ = 0;
    std::chrono::nanoseconds cpu_{0};
    std::vector<Duration> latencies_;
};

} // namespace

std::vector<ProtectedCallCost> measureProtectedCalls(const std::vector<int> &callsPerSecond,
                                                     std::chrono::seconds span,
                                                     const KvLatency &latency, int bodyBytes)
{
    std::vector<ProtectedCallCost> costs;
    costs.reserve(callsPerSecond.size());
    for (const auto rate : callsPerSecond)
        costs.push_back(Simulation(rate, span, latency, bodyBytes).run());
    return costs;
}

} // namespace jy::bench
