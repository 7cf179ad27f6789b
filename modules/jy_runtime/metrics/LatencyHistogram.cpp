#include "jy_runtime/metrics/LatencyHistogram.h"

#include <array>
#include <cmath>
#include <limits>

namespace jy {

namespace {

// Upper bounds in seconds. 0.026 and 1.4 are the service level objectives for the time between
// tokens and the time to the first token.
constexpr std::array<double, 17> bounds{0.001, 0.0025, 0.005, 0.01, 0.026, 0.05, 0.1, 0.25, 0.5,
                                        1,     1.4,    2.5,   5,    10,    20,   30,  60};

/**
 * Bins of Boost.Histogram exclude their upper edge. Raising each edge to the next representable
 * value makes the bounds inclusive.
 */
std::vector<double> edges()
{
    std::vector<double> result{-std::numeric_limits<double>::max()};
    for (const double bound : bounds)
        result.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
    return result;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(Axis(edges())))
{ }

void LatencyHistogram::observe(std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    histogram_(seconds);
    sum_ += seconds;
    ++count_;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        cumulative += static_cast<std::uint64_t>(histogram_.at(static_cast<int>(i)));
        result.push_back({bounds[i], cumulative});
    }
    result.push_back({std::numeric_limits<double>::infinity(), count_});
    return result;
}

} // namespace jy
