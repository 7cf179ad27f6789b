#include "jy_peer/auth/CallAuthenticator.h"

#include <charconv>

namespace jy {

namespace {

std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/** The prefix keeps the code of a call from being valid for a datagram and vice versa. */
std::string signedText(std::string_view method, const CallCredentials &credentials)
{
    std::string text("jy-call\n");
    text.append(method).append("\n").append(credentials.timeMs).append("\n");
    return text.append(credentials.peer);
}

} // namespace

CallAuthenticator::CallAuthenticator(std::shared_ptr<const KeyRing> keys)
    : keys_(std::move(keys))
{ }

CallCredentials CallAuthenticator::sign(std::string_view method, const InstanceId &self,
                                        WallTime now) const
{
    CallCredentials credentials{
        keys_->sealingKeyId(), std::to_string(toMilliseconds(now)), self.value(), {}};
    const auto code = keys_->code(credentials.keyId, signedText(method, credentials));
    if (code)
        credentials.code.assign(code.value().begin(), code.value().end());
    return credentials;
}

Result<InstanceId> CallAuthenticator::verify(std::string_view method,
                                             const CallCredentials &credentials, WallTime now) const
{
    if (credentials.peer.empty())
        return failure(ErrorKind::Unauthenticated, "the call names no peer");
    if (!keys_->verify(credentials.keyId, signedText(method, credentials), credentials.code))
        return failure(ErrorKind::Unauthenticated, "the code of the call is not valid");
    std::int64_t sentMs = 0;
    const auto &text = credentials.timeMs;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), sentMs);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        return failure(ErrorKind::Unauthenticated, "the time of the call is not a number");
    const auto age = std::chrono::milliseconds(toMilliseconds(now) - sentMs);
    if (age > freshness || age < -freshness)
        return failure(ErrorKind::Unauthenticated, "the call is not fresh");
    return InstanceId(credentials.peer);
}

} // namespace jy
