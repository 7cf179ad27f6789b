#include "jy_gateway/duties/UsageReports.h"

#include "jy_gateway/duties/UsageJson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace jy {

UsageReports::UsageReports(UsageReportSettings settings)
    : settings_(settings)
{ }

void UsageReports::load(std::deque<StoredReport> reports)
{
    for (auto &entry : reports) {
        const auto *known = find(entry.report.window);
        if (known && known->report == entry.report)
            entry.accepted = entry.accepted || known->accepted;
    }
    reports_ = std::move(reports);
    retryAt_ = {};
    retryPause_ = firstRetryPause;
}

UsageReports::Action UsageReports::next(std::optional<UsageWindow> first, WallTime now,
                                        const std::function<bool(WallTime until)> &complete) const
{
    for (const auto &entry : reports_) {
        if (!entry.accepted)
            return now < retryAt_ ? Action{} : Action{Step::Send, entry.report.window};
    }
    if (reports_.empty() && !first)
        return {};
    const auto oldest = oldestNeeded(now);
    const auto window = reports_.empty() ? std::max(oldest, *first) : oldest;
    const auto end = settings_.calendar.endOf(window);
    if (now < end + settlingTime || (now < end + patience() && !complete(end)))
        return {};
    return {Step::Store, window};
}

std::deque<StoredReport> UsageReports::withNew(UsageReport report) const
{
    auto reports = reports_;
    reports.push_back({std::move(report), false});
    while (reports.size() > maxStored)
        reports.pop_front();
    return reports;
}

void UsageReports::accepted(UsageWindow window)
{
    retryPause_ = firstRetryPause;
    for (auto &entry : reports_) {
        if (entry.report.window == window)
            entry.accepted = true;
    }
}

void UsageReports::failed(WallTime now)
{
    retryAt_ = now + retryPause_;
    retryPause_ = std::min(2 * retryPause_, maxRetryPause);
}

const StoredReport *UsageReports::find(UsageWindow window) const
{
    const auto found = std::ranges::find(
        reports_, window, [](const StoredReport &entry) { return entry.report.window; });
    return found == reports_.end() ? nullptr : &*found;
}

UsageWindow UsageReports::oldestNeeded(WallTime now) const
{
    const auto oldest = settings_.calendar.windowAt(now - oldestReported());
    return reports_.empty() ? oldest : std::max(oldest, reports_.back().report.window + 1);
}

std::string encodeReports(const std::deque<StoredReport> &reports)
{
    boost::json::array list;
    for (const auto &[report, accepted] : reports)
        list.push_back(boost::json::object{
            {"window", report.window}, {"counts", toJson(report.counts)}, {"accepted", accepted}});
    return boost::json::serialize(list);
}

std::optional<std::deque<StoredReport>> decodeReports(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    if (error || !value.is_array())
        return std::nullopt;
    std::deque<StoredReport> reports;
    for (const auto &item : value.get_array()) {
        const auto *object = item.if_object();
        const auto *window = object ? object->if_contains("window") : nullptr;
        const auto *counts = object ? object->if_contains("counts") : nullptr;
        const auto *accepted = object ? object->if_contains("accepted") : nullptr;
        auto read = counts ? countsFromJson(*counts) : std::nullopt;
        if (!window || !window->is_int64() || !read || !accepted || !accepted->is_bool())
            return std::nullopt;
        reports.push_back({{window->get_int64(), std::move(*read)}, accepted->get_bool()});
    }
    return reports;
}

} // namespace jy
