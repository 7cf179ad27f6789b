#pragma once

#include <optional>

namespace jy {

/** Exponentially weighted moving average over samples; the first sample is its start value. */
class MovingAverage
{
public:
    /** @param weight weight of a new sample, in (0, 1] */
    explicit MovingAverage(double weight)
        : weight_(weight)
    { }

    void add(double sample) { value_ = value_ ? *value_ + weight_ * (sample - *value_) : sample; }

    /** @returns nothing before the first sample */
    const std::optional<double> &value() const { return value_; }

private:
    double weight_;
    std::optional<double> value_;
};

} // namespace jy
