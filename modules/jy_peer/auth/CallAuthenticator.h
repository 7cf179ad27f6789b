#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_peer/auth/KeyRing.h"

namespace jy {

/** Metadata of an authenticated call. */
struct CallCredentials
{
    std::string keyId;

    /** Time of sending in milliseconds since the Unix epoch, decimal. */
    std::string timeMs;

    /** The calling router. */
    std::string peer;

    /** HMAC-SHA256 over method, time and peer. */
    std::string code;
};

/**
 * Creates and checks the credentials of gRPC calls.
 *
 * The code does not cover the request: it keeps strangers out, and the network between routers is
 * trusted not to alter a call. A recorded call could be repeated for as long as it is fresh; all
 * calls are idempotent by their sequence, attempt or revision.
 */
class CallAuthenticator
{
public:
    /** Largest difference between the clocks of two routers plus the time on the way. */
    static constexpr std::chrono::seconds freshness{30};

    explicit CallAuthenticator(std::shared_ptr<const KeyRing> keys);

    CallCredentials sign(std::string_view method, const InstanceId &self, WallTime now) const;

    /** @returns the calling router, or Unauthenticated. */
    Result<InstanceId> verify(std::string_view method, const CallCredentials &credentials,
                              WallTime now) const;

private:
    std::shared_ptr<const KeyRing> keys_;
};

} // namespace jy
