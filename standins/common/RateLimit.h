#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>

namespace jy::standins {

/** Token bucket that holds the tokens of at most one second. */
class RateLimit
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit RateLimit(double perSecond)
        : perSecond_(perSecond)
        , tokens_(perSecond)
    { }

    bool take(Time now, double tokens = 1)
    {
        if (last_ != Time{}) {
            const double passed = std::chrono::duration<double>(now - last_).count();
            tokens_ = std::min(perSecond_, tokens_ + passed * perSecond_);
        }
        last_ = now;
        if (tokens_ < tokens)
            return false;
        tokens_ -= tokens;
        return true;
    }

    double perSecond() const { return perSecond_; }

    void update(const boost::json::object &json, std::string_view name)
    {
        if (const auto *value = json.if_contains(name))
            perSecond_ = value->to_number<double>();
    }

private:
    double perSecond_;
    double tokens_;
    Time last_;
};

} // namespace jy::standins
