#include "jy_http/messages/ByteBudget.h"

#include <algorithm>

namespace jy {

bool ByteBudget::change(std::size_t from, std::size_t to, Excess excess)
{
    if (to > from && beforeGrowth_)
        beforeGrowth_(to - from);
    const auto others = used_ - from;
    if (to > from && excess == Excess::Refuse && others + to > limit_)
        return false;
    if (whole_ && !whole_->change(from, to, excess))
        return false;
    used_ = others + to;
    peak_ = std::max(peak_, used_);
    recentPeak_ = std::max(recentPeak_, used_);
    return true;
}

bool ByteLease::resize(std::size_t bytes)
{
    if (budget_ && !budget_->change(size_, bytes, ByteBudget::Excess::Refuse))
        return false;
    size_ = bytes;
    return true;
}

void ByteLease::count(std::size_t bytes)
{
    if (budget_)
        budget_->change(size_, bytes, ByteBudget::Excess::Count);
    size_ = bytes;
}

} // namespace jy
