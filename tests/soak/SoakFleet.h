#pragma once

#include "Ledger.h"
#include "SoakGateway.h"
#include "SoakServer.h"

#include "platform/StandinDuties.h"
#include "platform/StandinStore.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace jy::soak {

struct SoakSettings
{
    std::uint64_t seed = 1;
    std::chrono::seconds duration{30};
    int gateways = 5;
    std::string folder;
};

/** Version of the configuration in the store and the time at which it was written. */
struct WrittenConfig
{
    int version = 0;
    TimePoint at;
};

/** Gateways, backend servers, store and configuration of one soak. */
class SoakFleet
{
public:
    SoakFleet(EventLoop &loop, const SoakSettings &settings, Ledger::Report report);
    ~SoakFleet();

    /** Starts everything and waits until all gateways are ready. @returns whether they are */
    bool start();

    /** Writes a configuration N with route /vN/ and key key-N, without those of earlier ones. */
    void writeConfig();
    const WrittenConfig &config() const { return config_; }

    /** @returns the addresses that the directory lists; empty when no instance responds */
    std::vector<Endpoint> resolveAddresses(std::mt19937_64 &random);

    /** @returns the gateway at a caller address; null for an unknown address */
    const SoakGateway *gatewayAt(const Endpoint &address) const;

    bool ready(const SoakGateway &gateway);
    bool allReady();

    /** Records the exit time of gateways, and reports unexpected exits and duties that were not
     * performed by one holder at a time. */
    void watch();

    /** Ends every active fault and restarts stopped gateways and servers. */
    void endAllFaults();

    EventLoop &loop() { return loop_; }
    const SoakSettings &settings() const { return settings_; }

    Disturbances disturbances;
    Ledger ledger;
    platform::test::StandinStore store;
    platform::test::StandinDuties duties;
    std::deque<SoakGateway> gateways;
    std::deque<std::unique_ptr<SoakServer>> servers;

    void startGateway(SoakGateway &gateway);

private:
    std::string replaceAddresses(const std::string &key, std::string value) const;

    EventLoop &loop_;
    SoakSettings settings_;
    standins::FaultDice dice_;
    std::unique_ptr<HttpClient> client_;
    WrittenConfig config_;
    std::map<std::string, TimePoint> endedAt_;
};

} // namespace jy::soak
