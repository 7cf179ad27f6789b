#pragma once

#include "Ledger.h"
#include "SoakGateway.h"
#include "SoakServer.h"

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

/** A version of the configuration as the operator wrote it. */
struct WrittenConfig
{
    int version = 0;
    TimePoint at;
};

/** Gateways, backend servers, store and operator of one soak. */
class SoakFleet
{
public:
    SoakFleet(EventLoop &loop, const SoakSettings &settings, Ledger::Report report);
    ~SoakFleet();

    /** Starts everything and waits until all gateways are ready. @returns whether they are */
    bool start();

    /** A configuration whose own route is /vN/ and whose own key is key-N; drops those before. */
    void writeConfig();
    const WrittenConfig &config() const { return config_; }

    /** Addresses that the directory names; empty when nobody answers. */
    std::vector<Endpoint> askDirectory(std::mt19937_64 &random);

    /** The gateway that callers reach at an address; null for an unknown one. */
    const SoakGateway *gatewayAt(const Endpoint &address) const;

    bool ready(const SoakGateway &gateway);
    bool allReady();

    /** Ends by themselves and directory answers that name dead gateways are findings. */
    void watch();

    /** Ends every fault that goes on. */
    void heal();

    EventLoop &loop() { return loop_; }
    const SoakSettings &settings() const { return settings_; }

    Disturbances disturbances;
    Ledger ledger;
    platform::test::StandinStore store;
    std::deque<SoakGateway> gateways;
    std::deque<std::unique_ptr<SoakServer>> servers;

    void startGateway(SoakGateway &gateway);

private:
    std::string announcedAs(const std::string &key, std::string value) const;

    EventLoop &loop_;
    SoakSettings settings_;
    standins::FaultDice dice_;
    std::unique_ptr<HttpClient> client_;
    WrittenConfig config_;
    std::map<std::string, TimePoint> endedAt_;
};

} // namespace jy::soak
