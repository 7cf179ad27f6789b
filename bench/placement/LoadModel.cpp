#include "LoadModel.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace jy::bench {

namespace {

using namespace std::chrono_literals;

const RegionId region{"r"};
const ModelId model{"m"};
const WorkspaceId workspace{"w"};
const InstanceId router{"router"};
const TimePoint start{1h};
const WallTime wall{1h};

constexpr auto warmService = 1500ms;
constexpr auto coldService = 2500ms;
constexpr double multiple = 1.25;
constexpr int loadFloor = 4;

/** Prefix cache: least recently used chats are dropped. */
class Cache
{
public:
    explicit Cache(std::size_t capacity)
        : capacity_(capacity)
    { }

    bool contains(std::uint64_t chat) const { return index_.contains(chat); }

    void touch(std::uint64_t chat)
    {
        const auto found = index_.find(chat);
        if (found != index_.end())
            order_.erase(found->second);
        order_.push_front(chat);
        index_[chat] = order_.begin();
        if (order_.size() <= capacity_)
            return;
        index_.erase(order_.back());
        order_.pop_back();
    }

private:
    std::size_t capacity_;
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

struct Engine
{
    Cache cache;
    int inFlight = 0;
    bool up = true;
    int restarts = 0;
};

struct Finish
{
    TimePoint at;
    ServerId server;
    std::uint64_t chat = 0;
    ReservationKey key;
    bool warm = false;
    bool displaced = false;

    bool operator>(const Finish &other) const { return at > other.at; }
};

class Run
{
public:
    Run(Policy policy, const LoadShape &shape, std::uint64_t seed)
        : policy_(policy)
        , shape_(shape)
        , random_(seed)
        , directory_(region, nullptr)
        , ledger_({.self = router, .incarnation = 1})
    {
        auto state = std::make_shared<DesiredState>();
        state->domains[DomainId("a")] = {DomainId("a"), region};
        state->models[model] = {.id = model, .serve = VersionId("v")};
        state->workspaces[workspace] = {.id = workspace, .models = {model}};
        directory_.applyDesiredState(state);
        for (int i = 0; i < shape.engines; ++i)
            addEngine(true);
        applyList();
    }

    LoadFigures run()
    {
        std::exponential_distribution<double> gap(shape_.requestsPerSecond);
        auto nextRequest = start;
        double skewSum = 0;
        int skewSeconds = 0;
        for (int second = 0; second < shape_.seconds; ++second) {
            const auto end = start + std::chrono::seconds(second + 1);
            while (nextRequest < end) {
                finishUntil(nextRequest);
                now_ = nextRequest;
                request(pickChat());
                nextRequest += std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(random_)));
            }
            finishUntil(end);
            now_ = end;
            ledger_.tick(now_);
            sampleSkew(skewSum, skewSeconds);
            if (shape_.churnInterval > 0 && second % shape_.churnInterval == 0)
                churn();
        }
        figures_.meanSkew = skewSum / std::max(1, skewSeconds);
        return figures_;
    }

private:
    void addEngine(bool warmStart)
    {
        const ServerId id("engine-" + std::to_string(nextEngine_++));
        engines_.emplace(id, Engine{.cache = Cache(shape_.cacheChats)});
        const OwnedServerSpec spec{
            .id = id, .pool = "m@r", .loadMultiple = multiple, .loadFloor = loadFloor};
        if (warmStart) {
            ledger_.acceptHandOff(
                spec, {.server = id, .limit = 16, .cold = false, .startIdentity = "0"}, start);
        } else {
            ledger_.acquire(spec, false, now_);
        }
    }

    void applyList()
    {
        std::vector<BackendServer> list;
        for (const auto &[id, engine] : engines_) {
            list.push_back({.id = id,
                            .domain = DomainId("a"),
                            .region = region,
                            .model = model,
                            .version = VersionId("v")});
        }
        directory_.applyInstanceList(list);
    }

    std::uint64_t pickChat()
    {
        const double share = std::uniform_real_distribution<double>(0, 1)(random_);
        const int number = share < shape_.surgeShare
            ? -1 - std::uniform_int_distribution<int>(0, shape_.surgeChats - 1)(random_)
            : std::uniform_int_distribution<int>(0, shape_.chats - 1)(random_);
        return stableHash("chat" + std::to_string(number));
    }

    void request(std::uint64_t chat)
    {
        ++figures_.requests;
        ServerId chosen;
        ReservationKey key;
        bool displaced = false;
        if (policy_ == Policy::OwnerAdmitted) {
            const auto ranked = directory_.candidates(
                {.workspace = workspace, .model = model, .chatHash = chat}, now_, wall);
            if (ranked)
                std::tie(chosen, key, displaced) = reserve(ranked.value(), chat);
        } else if (policy_ == Policy::PlainHash) {
            const auto ranked = directory_.candidates(
                {.workspace = workspace, .model = model, .chatHash = chat, .maxCount = 1}, now_,
                wall);
            if (ranked)
                chosen = ranked.value().front();
        } else {
            chosen = idealEngine(chat);
        }
        const bool returning = !seen_.insert(chat).second;
        figures_.returning += returning ? 1 : 0;
        if (chosen.empty()) {
            ++figures_.refused;
            return;
        }
        auto &engine = engines_.at(chosen);
        const bool warm = engine.cache.contains(chat);
        figures_.warm += returning && warm ? 1 : 0;
        engine.cache.touch(chat);
        ++engine.inFlight;
        finishes_.push(
            {now_ + (warm ? warmService : coldService), chosen, chat, key, warm, displaced});
    }

    std::tuple<ServerId, ReservationKey, bool> reserve(const std::vector<ServerId> &ranked,
                                                       std::uint64_t chat)
    {
        ReserveInput input{.holder = router, .workspace = workspace, .chatHash = chat};
        for (const auto &server : ranked) {
            input.server = server;
            input.displaced = server != ranked.front();
            auto result = ledger_.reserve(input, now_);
            if (const auto *redirected = std::get_if<Redirected>(&result)) {
                input.displaced = true;
                input.server = redirected->server;
                const auto usable = !directory_.refusal(input.server, chat, now_, wall);
                const auto other = usable ? ledger_.reserve(input, now_) : ReserveResult{};
                const auto *granted = std::get_if<Granted>(&other);
                if (usable && granted != nullptr)
                    return {input.server, granted->key, false};
                input.server = server;
                result = ledger_.reserve(input, now_);
            }
            if (const auto *granted = std::get_if<Granted>(&result))
                return {server, granted->key, server != ranked.front()};
        }
        return {};
    }

    ServerId idealEngine(std::uint64_t chat) const
    {
        ServerId best;
        std::pair<bool, int> bestCost{true, INT32_MAX};
        for (const auto &[id, engine] : engines_) {
            const std::pair<bool, int> cost{!engine.cache.contains(chat), engine.inFlight};
            if (engine.up && cost < bestCost) {
                best = id;
                bestCost = cost;
            }
        }
        return best;
    }

    void finishUntil(TimePoint time)
    {
        while (!finishes_.empty() && finishes_.top().at <= time) {
            const Finish done = finishes_.top();
            finishes_.pop();
            now_ = done.at;
            const auto engine = engines_.find(done.server);
            if (engine == engines_.end())
                continue;
            --engine->second.inFlight;
            if (policy_ != Policy::OwnerAdmitted)
                continue;
            (void)ledger_.release({.key = done.key,
                                   .server = done.server,
                                   .sample = {.firstToken = done.warm ? 100ms : 300ms,
                                              .total = done.warm ? warmService : coldService,
                                              .cacheHit = done.warm}},
                                  now_);
            if (!done.displaced)
                continue;
            const auto home = directory_.candidates(
                {.workspace = workspace, .model = model, .chatHash = done.chat, .maxCount = 1},
                now_, wall);
            if (home)
                ledger_.recordException(home.value().front(), done.chat, done.server, now_);
        }
    }

    void sampleSkew(double &sum, int &seconds)
    {
        int total = 0;
        int highest = 0;
        int up = 0;
        for (const auto &[id, engine] : engines_) {
            total += engine.inFlight;
            highest = std::max(highest, engine.inFlight);
            up += engine.up ? 1 : 0;
        }
        const double mean = static_cast<double>(total) / std::max(1, up);
        if (mean < 1)
            return;
        sum += highest / mean;
        ++seconds;
        figures_.maxSkew = std::max(figures_.maxSkew, highest / mean);
        if (highest > std::max<double>(loadFloor, std::ceil(multiple * mean)) + 1)
            ++figures_.secondsOverBound;
    }

    void setUp(const ServerId &id, bool up)
    {
        engines_.at(id).up = up;
        directory_.setHealth(id, up ? ServerHealth::Up : ServerHealth::Down, now_);
        ledger_.setClosed(
            id, up ? std::nullopt : std::optional(Error{ErrorKind::ConnectFailed, "down", {}}),
            now_);
    }

    /** Ends the last change and starts the next: flap, restart or replacement of an engine. */
    void churn()
    {
        if (!down_.empty()) {
            setUp(down_, true);
            ledger_.setStartIdentity(down_, std::to_string(engines_.at(down_).restarts), now_);
            down_ = {};
            return;
        }
        auto victim = engines_.begin();
        std::advance(victim, std::uniform_int_distribution<int>(0, shape_.engines - 1)(random_));
        const auto kind = std::uniform_int_distribution<int>(0, 2)(random_);
        if (kind < 2) {
            down_ = victim->first;
            if (kind == 1) {
                victim->second.cache = Cache(shape_.cacheChats);
                ++victim->second.restarts;
            }
            setUp(down_, false);
            return;
        }
        ledger_.remove(victim->first, now_);
        engines_.erase(victim);
        addEngine(false);
        applyList();
    }

    Policy policy_;
    LoadShape shape_;
    std::mt19937_64 random_;
    ServerDirectory directory_;
    OwnerLedger ledger_;
    std::map<ServerId, Engine> engines_;
    int nextEngine_ = 0;
    TimePoint now_ = start;
    ServerId down_;
    std::set<std::uint64_t> seen_;
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes_;
    LoadFigures figures_;
};

} // namespace

const char *toString(Policy policy)
{
    switch (policy) {
    case Policy::Ideal:
        return "ideal";
    case Policy::PlainHash:
        return "plain rendezvous";
    default:
        return "owner-admitted";
    }
}

LoadFigures runLoad(Policy policy, const LoadShape &shape, std::uint64_t seed)
{
    return Run(policy, shape, seed).run();
}

} // namespace jy::bench
