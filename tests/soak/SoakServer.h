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

/** Events of a complete stream. */
inline constexpr int streamEvents = 12;

/** Misbehaviour of a backend server while its process lives. */
struct ServerMood
{
    /** Takes requests and never answers. */
    bool hangs = false;

    /** Share of the requests that are answered 500. */
    double errors = 0;

    /** Share of the requests that are rejected with the word that they have not run. */
    double rejects = 0;

    /** Share of the answers that end early. */
    double breaks = 0;

    /** Factor on the time of work. */
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
 * One address at which backend servers run, one after the other. Gateways reach it through a link
 * with faults.
 */
class SoakServer
{
public:
    /** Time after a start in which a server bears few requests. */
    static constexpr std::chrono::milliseconds coldTime{2000};

    SoakServer(const SoakServerSettings &settings, int place, std::string service,
               std::string domain);
    ~SoakServer();

    const std::string &id() const { return id_; }
    const std::string &domain() const { return domain_; }
    bool running() const { return server_ != nullptr; }

    /** Starts a new incarnation, with a new id or the one before, and enters it in the store. */
    void start(bool sameId, const std::optional<std::string> &service = std::nullopt);

    /** Ends at once, with resets. @param leaveEntry as after a crash, until its lease has ended */
    void crash(bool leaveEntry);

    /** Says that it leaves, or only removes its entry; goes on for a while and then ends. */
    void leave(bool announced);

    /** Cold for a while, as after a start. */
    void becomeCold();

    /** Writes the entry, or takes it away as an outage of the store does. */
    void enter(bool draining = false);
    void lapse();

    ServerMood mood;
    std::shared_ptr<standins::ProxyLink> link;

private:
    void handle(const HttpRequest &request, HttpResponder &responder);
    void answerStream(const Arrival &arrival, const std::string &seal, const HttpRequest &request,
                      HttpResponder &responder);
    /** @returns whether the caller is still there after the given time */
    static bool work(std::chrono::milliseconds time, const HttpResponder &responder);
    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

    SoakServerSettings settings_;
    int place_;
    int incarnation_ = 0;
    std::uint64_t runs_ = 0;
    std::string id_;
    std::string service_;
    std::string domain_;
    Endpoint own_;
    Endpoint entered_;
    TimePoint coldUntil_;
    std::unique_ptr<HttpServer> server_;
    std::mt19937_64 random_;
};

} // namespace jy::soak
