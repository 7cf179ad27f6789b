#pragma once

#include <algorithm>
#include <vector>

namespace jy::standins {

/** Measured values of one kind. */
class Samples
{
public:
    void add(double value) { values_.push_back(value); }
    std::size_t count() const { return values_.size(); }

    /** Value below which the share @p q of the samples lies (nearest rank); zero without samples.
     */
    double quantile(double q) const
    {
        if (values_.empty())
            return 0;
        std::vector<double> sorted = values_;
        const auto rank = static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
        std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                         sorted.end());
        return sorted[rank];
    }

    double maximum() const
    {
        return values_.empty() ? 0 : *std::max_element(values_.begin(), values_.end());
    }

    double mean() const
    {
        double sum = 0;
        for (const double value : values_)
            sum += value;
        return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
    }

private:
    std::vector<double> values_;
};

} // namespace jy::standins
