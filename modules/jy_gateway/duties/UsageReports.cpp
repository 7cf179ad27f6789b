#include "jy_gateway/duties/UsageReports.h"

#include "jy_gateway/duties/UsageJson.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace jy {

namespace {

UsageWindow windowOf(const StoredReport &entry)
{
    return entry.report.window;
}

} // namespace

UsageReports::UsageReports(UsageReportSettings settings)
    : settings_(settings)
{ }

void UsageReports::load(const std::deque<StoredReport> &reports, std::optional<WallTime> lostBefore)
{
    for (const auto &entry : reports) {
        const auto place = std::ranges::lower_bound(reports_, entry.report.window, {}, windowOf);
        if (place == reports_.end() || place->report.window != entry.report.window)
            reports_.insert(place, entry);
        else if (place->report == entry.report)
            place->accepted = place->accepted || entry.accepted;
    }
    while (reports_.size() > maxStored)
        reports_.pop_front();
    if (lostBefore) {
        const auto first = settings_.calendar.windowAt(*lostBefore + clockTolerance - settlingTime);
        firstUnreported_ = std::max(firstUnreported_.value_or(first), first);
    }
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

std::deque<StoredReport> UsageReports::withNew(UsageReport report, StoreEra era) const
{
    auto reports = reports_;
    reports.push_back({std::move(report), false});
    for (auto &entry : reports)
        entry.era = era;
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
    const auto found = std::ranges::find(reports_, window, windowOf);
    return found == reports_.end() ? nullptr : &*found;
}

UsageWindow UsageReports::oldestNeeded(WallTime now) const
{
    auto oldest = settings_.calendar.windowAt(now - oldestReported());
    if (firstUnreported_)
        oldest = std::max(oldest, *firstUnreported_);
    return reports_.empty() ? oldest : std::max(oldest, reports_.back().report.window + 1);
}

bool writtenIn(StoreEra era, const std::deque<StoredReport> &reports)
{
    return std::ranges::any_of(reports, [era](const auto &entry) { return entry.era == era; });
}

std::string encodeReports(const std::deque<StoredReport> &reports)
{
    boost::json::array list;
    for (const auto &[report, accepted, era] : reports) {
        boost::json::object entry{
            {"window", report.window}, {"counts", toJson(report.counts)}, {"accepted", accepted}};
        if (era)
            entry["era"] = *era;
        list.push_back(std::move(entry));
    }
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
        StoredReport entry{{window->get_int64(), std::move(*read)}, accepted->get_bool(), {}};
        if (const auto *era = object->if_contains("era")) {
            if (!era->is_int64() || era->get_int64() < 0)
                return std::nullopt;
            entry.era = static_cast<StoreEra>(era->get_int64());
        }
        reports.push_back(std::move(entry));
    }
    return reports;
}

} // namespace jy
