#include "jy_router/operations/OperatorKeys.h"

#include "jy_http/messages/HttpHeaders.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace jy {

namespace {

constexpr std::string_view scheme = "Bearer ";

} // namespace

OperatorKeys::OperatorKeys(const std::vector<OperatorKeySettings> &keys)
{
    replace(keys);
}

void OperatorKeys::replace(const std::vector<OperatorKeySettings> &keys)
{
    keys_.clear();
    for (const auto &key : keys)
        keys_.push_back({key.name, digestOf(key.secret)});
}

std::optional<std::string> OperatorKeys::holder(std::string_view authorization) const
{
    if (!equalsIgnoringCase(authorization.substr(0, scheme.size()), scheme))
        return std::nullopt;
    // Digests have one length, so the comparison reveals neither content nor length of a key.
    const auto digest = digestOf(authorization.substr(scheme.size()));
    std::optional<std::string> name;
    for (const auto &key : keys_) {
        if (CRYPTO_memcmp(digest.data(), key.digest.data(), digest.size()) == 0)
            name = key.name;
    }
    return name;
}

OperatorKeys::Digest OperatorKeys::digestOf(std::string_view secret)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), digest.data());
    return digest;
}

} // namespace jy
