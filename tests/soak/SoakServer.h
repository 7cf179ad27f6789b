#pragma once

#include "Ledger.h"

#include "fault_proxy/ProxyLink.h"
#include "jy_http/jy_http.h"
#include "platform/StandinStore.h"

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jy::soak {

/** Number of events in a complete stream. */
inline constexpr int streamEvents = 12;

/** Faulty behaviour of a backend server that keeps running. */
struct ServerMisbehavior
{
    /** Accepts requests and never responds. */
    bool hangs = false;

    /** Share of requests that fail with status 500. */
    double errors = 0;

    /** Share of requests that are rejected as not executed. */
    double rejects = 0;

    /** Share of responses that are truncated. */
    double breaks = 0;

    /** Multiplies the processing time. */
    int slowness = 1;
};

/** What all backend servers of one soak share. */
struct SoakServerSettings
{
    EventLoop &loop;
    platform::test::StandinStore &store;
    Ledger &ledger;
    standins::FaultDice &dice;
    std::uint64_t seed;
};

/**
 * Simulated backend servers that run one after the other at one address. Gateways connect through
 * a proxy link that can inject faults.
 */
class SoakServer
{
public:
    /** Time after a start in which a server accepts only a low request rate. */
    static constexpr std::chrono::milliseconds coldTime{2000};

    SoakServer(const SoakServerSettings &settings, int place, std::string service,
               std::string domain);
    ~SoakServer();

    const std::string &id() const { return id_; }
    const std::string &domain() const { return domain_; }
    bool running() const { return server_ != nullptr; }

    /** Starts a new incarnation, with a new id or the previous one, and writes its entry. */
    void start(bool sameId, const std::optional<std::string> &service = std::nullopt);

    /** Stops at once and resets connections. @param leaveEntry whether the store entry remains */
    void crash(bool leaveEntry);

    /** Marks its entry as draining, or removes it, serves on for the drain time and then stops. */
    void leave(bool announced);

    /** Announces itself as cold for coldTime, as after a start. */
    void becomeCold();

    /** Writes or removes the store entry. A removal also simulates an expired lease. */
    void writeEntry(bool draining = false);
    void removeEntry();

    ServerMisbehavior misbehavior;
    std::shared_ptr<standins::ProxyLink> link;

private:
    void handle(const HttpRequest &request, HttpResponder &responder);
    void sendStream(const Arrival &arrival, const std::string &seal, const HttpRequest &request,
                    HttpResponder &responder);
    /** Simulates processing. @returns whether the caller is still connected afterwards */
    static bool work(std::chrono::milliseconds time, const HttpResponder &responder);
    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

    SoakServerSettings settings_;
    int place_;
    int incarnation_ = 0;
    std::uint64_t runs_ = 0;
    std::string id_;
    std::string service_;
    std::string domain_;
    Endpoint listenAddress_;
    Endpoint registeredAddress_;
    TimePoint coldUntil_;
    std::unique_ptr<HttpServer> server_;
    std::mt19937_64 random_;
};

} // namespace jy::soak
