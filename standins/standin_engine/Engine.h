#pragma once

#include "EngineKnobs.h"
#include "PrefixCache.h"
#include "SlotQueue.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace jy::standins {

/** One model engine: continuous batching, prefix cache, cold start, versions and orders. */
class Engine
{
public:
    Engine(std::string id, std::string model, std::string version, const EngineKnobs &defaults);

    /** Called after the version that is served has changed. */
    std::function<void()> versionChanged = [] {};

    /** Suspends until the weights of a version have been fetched; @returns false on failure. */
    std::function<bool(const std::string &version)> fetchWeights;

    /** Performs a request at another engine, for the import of cache entries. */
    std::function<std::string(const std::string &address, const std::string &target)> fetch;

    /** Answers a request at the engine's own port. */
    void handle(const HttpRequest &request, HttpResponder &responder);

    /** Takes a load sample; called periodically, so that reports can lag. */
    void sampleLoad();

    /** Starts again: new start identity, cold, empty cache. */
    void restart();

    /** Loses cache and warmth without a new start identity. */
    void makeCold();

    void update(const boost::json::object &json) { updateKnobs(knobs, json); }

    /** What ran, for checks by tests. */
    boost::json::object counts() const;

    const std::string &id() const { return id_; }
    const std::string &version() const { return version_; }

    EngineKnobs knobs;

private:
    struct Generation;
    struct LoadSample
    {
        TimePoint time;
        int running = 0;
        int waiting = 0;
    };

    void chat(const HttpRequest &request, HttpResponder &responder);
    void generate(Generation &generation, HttpResponder &responder);
    void sendStream(Generation &generation, HttpResponder &responder);
    void sendWhole(const Generation &generation, HttpResponder &responder);
    void resume(const std::string &requestId, int lastEvent, HttpResponder &responder);
    void cancel(const std::string &requestId, HttpResponder &responder);
    void finish(const Generation &generation, bool complete);
    bool turnedBad(const Generation &generation);
    bool bearsOneMore();
    boost::json::object chunk(const Generation &generation, const std::string &content) const;
    boost::json::object usage(const Generation &generation) const;

    void loadReport(HttpResponder &responder) const;
    void cacheEvents(const HttpRequest &request, HttpResponder &responder) const;
    void exportKv(const HttpRequest &request, HttpResponder &responder);
    void importKv(const HttpRequest &request, HttpResponder &responder);
    void order(const HttpRequest &request, HttpResponder &responder);
    void load(const std::string &version);

    std::string id_;
    std::string model_;
    std::string version_;
    std::string loading_;
    std::string startIdentity_;
    std::uint64_t highestToken_ = 0;
    int warmSuccesses_ = 0;
    bool cold_ = true;
    SlotQueue slots_;
    PrefixCache cache_;
    std::minstd_rand random_;
    std::deque<LoadSample> samples_;
    std::map<std::string, TimePoint> firstUse_;

    /** Recent generations, oldest first; their streams can be resumed. */
    std::deque<std::shared_ptr<Generation>> generations_;
    std::deque<double> firstTokens_;

    std::unordered_map<std::string, int> runs_;
    std::uint64_t nextGeneration_ = 1;
    std::uint64_t started_ = 0;
    std::uint64_t completed_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t resumed_ = 0;
    std::uint64_t coldOverloads_ = 0;
    std::uint64_t staleOrders_ = 0;
    std::uint64_t orders_ = 0;
    std::uint64_t cachedPrefixes_ = 0;
    std::uint64_t allPrefixes_ = 0;
    int maxRunning_ = 0;
    std::int64_t lastStartUnixMs_ = 0;
    std::map<std::string, std::uint64_t> startedByVersion_;
};

} // namespace jy::standins
