#include "jy_gateway/registry/StoreEraTracker.h"

#include <utility>

namespace jy {

StoreEraTracker::StoreEraTracker(Observer restored)
    : restored_(std::move(restored))
{ }

void StoreEraTracker::observe(StoreEra era)
{
    if (!current_) {
        current_ = era;
        first_ = era;
        return;
    }
    if (era <= *current_)
        return;
    const auto before = std::exchange(*current_, era);
    restored_(before, era);
}

bool StoreEraTracker::admit(StorePage &copy)
{
    if (copy.era == 0)
        copy.era = first_;
    else
        observe(copy.era);
    return copy.era >= current();
}

} // namespace jy
