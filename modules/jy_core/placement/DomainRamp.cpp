#include "jy_core/placement/DomainRamp.h"

#include "jy_base/hashing/StableHash.h"

namespace jy {

namespace {

// Salt that makes the order in which chats return independent of their rendezvous scores.
constexpr std::uint64_t rampSalt = 0x72616d70;

} // namespace

bool domainAdmits(const DomainSpec &domain, std::chrono::milliseconds returnRamp,
                  std::uint64_t chatHash, WallTime wallNow)
{
    if (domain.state != DomainState::Returning)
        return domain.state == DomainState::InService;
    const auto elapsed = wallNow - domain.returnStart;
    if (elapsed >= returnRamp)
        return true;
    const double share =
        std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(returnRamp);
    return unitInterval(stableHash(domain.id.value(), chatHash ^ rampSalt)) < share;
}

} // namespace jy
