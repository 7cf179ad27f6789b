#pragma once

#include "jy_base/errors/Error.h"
#include "jy_core/config/KvValue.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jy::test {

/** What happens to one call of the fake KV service. */
enum class KvFault {
    None,
    Down, /**< not applied, KvUnavailable */
    LostApplied, /**< applied, the response is lost */
    LostDropped, /**< not applied, the response is lost */
    LostDelayed, /**< the response is lost; deliverDelayed() applies the write */
};

/** A KV service with compare-and-swap; the test selects the fault of each call. */
class ConfigFakeKv
{
public:
    /** Called after each write that took effect. */
    std::function<void(const std::string &key, const std::string &value)> onWrite;

    Result<std::optional<KvValue>> read(const std::string &key, KvFault fault) const
    {
        if (fault != KvFault::None)
            return failure(ErrorKind::KvUnavailable, "down");
        const auto found = values.find(key);
        if (found == values.end())
            return std::optional<KvValue>();
        return std::optional<KvValue>(found->second);
    }

    Result<std::uint64_t> swap(const std::string &key, const std::string &value,
                               std::uint64_t expected, KvFault fault)
    {
        if (fault == KvFault::Down)
            return failure(ErrorKind::KvUnavailable, "down");
        if (fault == KvFault::LostDelayed)
            delayed_.push_back([=, this] { apply(key, value, expected); });
        std::uint64_t index = 0;
        if (fault == KvFault::None || fault == KvFault::LostApplied)
            index = apply(key, value, expected);
        if (fault != KvFault::None)
            return failure(ErrorKind::KvOutcomeUnknown, "lost");
        if (index == 0)
            return failure(ErrorKind::KvConflict, "index differs");
        return index;
    }

    void deliverDelayed()
    {
        for (const auto &write : std::exchange(delayed_, {}))
            write();
    }

    std::map<std::string, KvValue> values;
    std::size_t writes = 0;

private:
    std::uint64_t apply(const std::string &key, const std::string &value, std::uint64_t expected)
    {
        auto &entry = values[key];
        if (entry.index != expected) {
            if (entry.index == 0)
                values.erase(key);
            return 0;
        }
        entry = {value, ++lastIndex_};
        ++writes;
        if (onWrite)
            onWrite(key, value);
        return lastIndex_;
    }

    std::uint64_t lastIndex_ = 0;
    std::vector<std::function<void()>> delayed_;
};

} // namespace jy::test
