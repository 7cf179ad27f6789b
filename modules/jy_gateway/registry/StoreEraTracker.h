#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <functional>
#include <optional>

namespace jy {

/**
 * Keeps the latest era that any response of the store or of another instance has shown.
 *
 * Responses of different connections may overtake each other, so an earlier era is ignored.
 */
class StoreEraTracker
{
public:
    /** Called when the store was restored, before the response that shows it is used. */
    using Observer = std::function<void(StoreEra before, StoreEra now)>;

    explicit StoreEraTracker(Observer restored);

    void observe(StoreEra era);

    /**
     * Observes the era of another instance's copy. A copy that states none is from an earlier
     * build, which keeps to the era that it read first; it is given the first era of this process.
     *
     * @returns false if the copy is of an earlier era than the latest one
     */
    [[nodiscard]] bool admit(StorePage &copy);

    /** 0 before the first response, and as long as the store states no era. */
    StoreEra current() const { return current_.value_or(0); }

    /** The first era that was observed; 0 before that. */
    StoreEra first() const { return first_; }

private:
    Observer restored_;
    std::optional<StoreEra> current_;
    StoreEra first_ = 0;
};

} // namespace jy
