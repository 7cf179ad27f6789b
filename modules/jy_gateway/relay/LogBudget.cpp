#include "jy_gateway/relay/LogBudget.h"

#include <utility>

namespace jy {

bool LogBudget::take(TimePoint now)
{
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        written_ = 0;
    }
    if (written_ < linesPerSecond_) {
        ++written_;
        return true;
    }
    ++dropped_;
    return false;
}

std::uint64_t LogBudget::takeDropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace jy
