#include "jy_runtime/metrics/Metrics.h"

#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace jy {

namespace {

constexpr std::array<const char *, 3> typeNames{"counter", "gauge", "histogram"};

std::string numberText(double value)
{
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    if (std::isnan(value))
        return "NaN";
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

std::string escaped(const std::string &text, bool quotes)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '\\' || (quotes && c == '"'))
            result += '\\';
        result += c;
    }
    return result;
}

/** Formats labels without the enclosing braces. */
std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        if (!text.empty())
            text += ',';
        text += name + "=\"" + escaped(value, true) + '"';
    }
    return text;
}

std::string sample(const std::string &name, const std::string &labels, const std::string &value)
{
    return name + (labels.empty() ? "" : '{' + labels + '}') + ' ' + value + '\n';
}

struct SampleWriter
{
    const std::string &name;
    const std::string &labels;

    std::string operator()(const Counter &counter) const
    {
        return sample(name, labels, std::to_string(counter.value()));
    }

    std::string operator()(const Gauge &gauge) const
    {
        return sample(name, labels, numberText(gauge.value()));
    }

    std::string operator()(const LatencyHistogram &histogram) const
    {
        std::string text;
        for (const auto &bucket : histogram.buckets()) {
            const auto bound = "le=\"" + numberText(bucket.bound) + '"';
            text += sample(name + "_bucket", labels.empty() ? bound : labels + ',' + bound,
                           std::to_string(bucket.count));
        }
        return text + sample(name + "_sum", labels, numberText(histogram.sum()))
            + sample(name + "_count", labels, std::to_string(histogram.count()));
    }
};

} // namespace

template <class Metric>
Metric &Metrics::find(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    const Series fresh{Metric{}};
    auto &family = families_[name];
    if (family.series.empty()) {
        family.help = help;
        family.type = fresh.index();
    }
    if (family.type != fresh.index())
        throw std::logic_error("metric " + name + " is already registered with another type");
    auto key = labelText(labels);
    if (family.series.size() >= maxSeries && !family.series.contains(key))
        key = labelText({{"overflow", "true"}});
    auto &series = family.series[key];
    if (!series)
        series = std::make_unique<Series>(fresh);
    return std::get<Metric>(*series);
}

Counter &Metrics::counter(const std::string &name, const std::string &help,
                          const MetricLabels &labels)
{
    return find<Counter>(name, help, labels);
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return find<Gauge>(name, help, labels);
}

LatencyHistogram &Metrics::histogram(const std::string &name, const std::string &help,
                                     const MetricLabels &labels)
{
    return find<LatencyHistogram>(name, help, labels);
}

void Metrics::removeSeries(const std::string &name)
{
    families_.erase(name);
}

void Metrics::addCollector(std::function<void()> collector)
{
    collectors_.push_back(std::move(collector));
}

std::string Metrics::prometheusText()
{
    for (const auto &collector : collectors_)
        collector();
    std::string text;
    for (const auto &[name, family] : families_) {
        text += "# HELP " + name + ' ' + escaped(family.help, false) + '\n';
        text += "# TYPE " + name + ' ' + typeNames[family.type] + '\n';
        for (const auto &[labels, series] : family.series)
            text += std::visit(SampleWriter{name, labels}, *series);
    }
    return text;
}

} // namespace jy
