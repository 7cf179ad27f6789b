#pragma once

#include "jy_core/ledger/OwnerLedger.h"
#include "jy_core/placement/ServerDirectory.h"

#include <cstdint>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace jy::bench {

/** How a request finds its engine. */
enum class Policy {
    Ideal, /**< knows every engine's cache: any warm engine, otherwise the least loaded one */
    PlainHash, /**< the first-ranked engine that is up, without limits or exceptions */
    OwnerAdmitted, /**< this project: candidates, ledger, bounded load, exceptions */
};

const char *toString(Policy policy);

/** Offered load and changes of the engine pool. Times are those of the model, not of the machine.
 */
struct LoadShape
{
    int engines = 18;
    int chats = 20000;

    /** Chats whose prefix fits into one engine's cache. */
    std::size_t cacheChats = 2000;

    double requestsPerSecond = 50;
    int seconds = 600;

    /** Share of the requests that belong to the few chats of a surging workspace. */
    double surgeShare = 0;
    int surgeChats = 0;

    /** Seconds between two changes: flap, restart with an empty cache, or replacement; 0: none. */
    int churnInterval = 0;
};

/** Figures of one run. */
struct LoadFigures
{
    int requests = 0;
    int returning = 0;

    /** Returning requests that reached an engine with their prefix. */
    int warm = 0;

    int refused = 0;

    /** Mean and maximum over all seconds of the highest load over the mean load. */
    double meanSkew = 0;
    double maxSkew = 0;

    /** Seconds in which an engine carried more than max(floor, ceil(1.25 x mean)) + 1. */
    int secondsOverBound = 0;
};

/**
 * Runs the decision core of one owner against engines that are reduced to a cache and a count of
 * requests. It answers questions of placement only; latencies and failures of real processes are
 * the matter of the integration tests.
 */
LoadFigures runLoad(Policy policy, const LoadShape &shape, std::uint64_t seed);

} // namespace jy::bench
