#pragma once

#include "SoakFleet.h"

#include <functional>
#include <span>
#include <string_view>

namespace jy::soak {

/** Random choices for one series of faults. */
class FaultDraw
{
public:
    FaultDraw(SoakFleet &fleet, std::uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
    { }

    SoakFleet &fleet() { return fleet_; }
    int number(int low, int high) { return std::uniform_int_distribution(low, high)(random_); }
    bool coin() { return number(0, 1) == 1; }
    std::chrono::milliseconds time(int low, int high)
    {
        return std::chrono::milliseconds(number(low, high));
    }
    SoakGateway &gateway() { return fleet_.gateways[index(fleet_.gateways.size())]; }
    SoakServer &server() { return *fleet_.servers[index(fleet_.servers.size())]; }

private:
    std::size_t index(std::size_t size)
    {
        return static_cast<std::size_t>(number(0, static_cast<int>(size) - 1));
    }

    SoakFleet &fleet_;
    std::mt19937_64 random_;
};

/** Kind of fault. inject() returns when the fault has ended. */
struct FaultKind
{
    std::string_view name;
    std::function<void(FaultDraw &)> inject;
};

std::span<const FaultKind> faultKinds();

} // namespace jy::soak
