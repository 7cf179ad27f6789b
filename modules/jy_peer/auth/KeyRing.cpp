#include "jy_peer/auth/KeyRing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace jy {

namespace {

constexpr std::size_t longestKeyId = 32;
constexpr std::size_t shortestSecret = 16;
constexpr std::size_t shortestCode = 16;

} // namespace

Result<std::shared_ptr<KeyRing>> KeyRing::create(std::vector<AuthKey> keys,
                                                 std::string sealingKeyId)
{
    std::shared_ptr<KeyRing> ring(new KeyRing);
    BOOST_OUTCOME_TRY(ring->reload(std::move(keys), std::move(sealingKeyId)));
    return ring;
}

Result<std::shared_ptr<const KeyRing::Keys>> KeyRing::check(std::vector<AuthKey> keys,
                                                            std::string sealingKeyId)
{
    auto checked = std::make_shared<Keys>();
    for (auto &key : keys) {
        if (key.id.empty() || key.id.size() > longestKeyId)
            return failure(ErrorKind::SettingsInvalid, "a key id must have 1 to 32 bytes");
        if (key.secret.size() < shortestSecret) {
            return failure(ErrorKind::SettingsInvalid,
                           "the secret of key " + key.id + " is shorter than 16 bytes");
        }
        if (!checked->secrets.emplace(key.id, std::move(key.secret)).second)
            return failure(ErrorKind::SettingsInvalid, "key " + key.id + " is listed twice");
    }
    if (!checked->secrets.contains(sealingKeyId)) {
        return failure(ErrorKind::SettingsInvalid,
                       "the sealing key " + sealingKeyId + " is not listed");
    }
    checked->sealing = std::move(sealingKeyId);
    return std::shared_ptr<const Keys>(std::move(checked));
}

Result<void> KeyRing::reload(std::vector<AuthKey> keys, std::string sealingKeyId)
{
    BOOST_OUTCOME_TRY(auto checked, check(std::move(keys), std::move(sealingKeyId)));
    const std::lock_guard lock(mutex_);
    keys_ = std::move(checked);
    return success();
}

std::shared_ptr<const KeyRing::Keys> KeyRing::keys() const
{
    const std::lock_guard lock(mutex_);
    return keys_;
}

std::string KeyRing::sealingKeyId() const
{
    return keys()->sealing;
}

Result<MessageCode> KeyRing::code(const std::string &keyId, std::string_view data) const
{
    const auto current = keys();
    const auto found = current->secrets.find(keyId);
    if (found == current->secrets.end())
        return failure(ErrorKind::Unauthenticated, "unknown key " + keyId);
    MessageCode code{};
    unsigned int size = code.size();
    const auto &secret = found->second;
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
             reinterpret_cast<const unsigned char *>(data.data()), data.size(), code.data(), &size)
        == nullptr) {
        return failure(ErrorKind::Internal, "HMAC-SHA256 failed");
    }
    return code;
}

bool KeyRing::verify(const std::string &keyId, std::string_view data, std::string_view code) const
{
    const auto expected = this->code(keyId, data);
    if (!expected || code.size() < shortestCode || code.size() > expected.value().size())
        return false;
    return CRYPTO_memcmp(expected.value().data(), code.data(), code.size()) == 0;
}

} // namespace jy
