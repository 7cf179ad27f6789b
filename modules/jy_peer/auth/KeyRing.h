#pragma once

#include "jy_base/errors/Error.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** A shared secret of the fleet. */
struct AuthKey
{
    /** At most 32 bytes; sent in clear. */
    std::string id;

    /** At least 16 bytes. */
    std::string secret;
};

/** HMAC-SHA256 code. */
using MessageCode = std::array<std::uint8_t, 32>;

/**
 * The keys that authenticate messages between routers: one seals, all open.
 *
 * To replace a key, first add the new one on every router, then seal with it, then remove the old
 * one. Thread-safe, because gRPC verifies calls on its own threads.
 */
class KeyRing
{
public:
    /** @returns SettingsInvalid for a missing, short or repeated key or an unknown sealing key. */
    static Result<std::shared_ptr<KeyRing>> create(std::vector<AuthKey> keys,
                                                   std::string sealingKeyId);

    /** Replaces all keys; on an error the previous ones stay. */
    Result<void> reload(std::vector<AuthKey> keys, std::string sealingKeyId);

    std::string sealingKeyId() const;

    /** @returns the code of @p data, or Unauthenticated for an unknown key. */
    Result<MessageCode> code(const std::string &keyId, std::string_view data) const;

    /** Compares a full or truncated code in constant time; at least 16 bytes are required. */
    bool verify(const std::string &keyId, std::string_view data, std::string_view code) const;

private:
    struct Keys
    {
        std::map<std::string, std::string> secrets;
        std::string sealing;
    };

    KeyRing() = default;
    static Result<std::shared_ptr<const Keys>> check(std::vector<AuthKey> keys,
                                                     std::string sealingKeyId);
    std::shared_ptr<const Keys> keys() const;

    mutable std::mutex mutex_;
    std::shared_ptr<const Keys> keys_;
};

} // namespace jy
